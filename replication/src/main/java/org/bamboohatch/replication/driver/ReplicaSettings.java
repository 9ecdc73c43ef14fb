package org.bamboohatch.replication.driver;

import java.nio.file.Path;
import java.util.List;

import org.bamboohatch.kernel.id.HostName;
import org.bamboohatch.kernel.id.ZoneName;
import org.bamboohatch.replication.consensus.ConsensusTiming;

/**
 * Settings of a replica.
 *
 * @param host the host on which the replica runs
 * @param zone the availability zone of the host
 * @param address the host and port at which other replicas reach this one
 * @param dataFolder the folder of the durable state
 * @param peers the addresses of the initial members, including this replica
 * @param replaces the host whose voter this replica replaces
 * @param snapshotEntries the number of applied entries after which a snapshot is taken
 * @param bootstrapAllowed whether a new group may be bootstrapped when every peer is empty
 * @param desiredVoters the number of voters that a leader restores, or zero for the current number rounded up to an odd
 * one; a proposal is acknowledged once a majority of that number holds it
 * @param timing election timeouts and heartbeat interval
 */
public record ReplicaSettings(
        HostName host,
        ZoneName zone,
        String address,
        Path dataFolder,
        List<String> peers,
        HostName replaces,
        int snapshotEntries,
        boolean bootstrapAllowed,
        int desiredVoters,
        ConsensusTiming timing) {

    /** Copies the list of peers. */
    public ReplicaSettings {
        peers = List.copyOf(peers);
    }
}
