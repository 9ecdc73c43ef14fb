package org.bamboohatch.replication.driver;

import java.nio.file.Path;
import java.util.List;

import org.bamboohatch.kernel.id.HostName;
import org.bamboohatch.replication.consensus.ConsensusTiming;

/**
 * Settings of a replica.
 *
 * @param host the host
 * @param address host and port at which the replica listens
 * @param dataFolder the folder with the durable state
 * @param peers addresses of the founding replicas, this one included
 * @param replaces the host whose voter this replica replaces
 * @param snapshotEntries entries after which a snapshot is taken
 * @param mayFound whether a group may be formed when every peer is empty
 * @param desiredVoters voters that a leader aims at, zero for as many as there are, made odd
 * @param timing the times of the consensus
 */
public record ReplicaSettings(
        HostName host,
        String address,
        Path dataFolder,
        List<String> peers,
        HostName replaces,
        int snapshotEntries,
        boolean mayFound,
        int desiredVoters,
        ConsensusTiming timing) {

    /** Makes the list immutable. */
    public ReplicaSettings {
        peers = List.copyOf(peers);
    }
}
