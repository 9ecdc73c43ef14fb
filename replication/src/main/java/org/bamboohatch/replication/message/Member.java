package org.bamboohatch.replication.message;

import org.bamboohatch.kernel.id.HostName;
import org.bamboohatch.kernel.id.ReplicaId;

/**
 * A replica that takes part in the replicated log.
 *
 * @param replica the identity, which is stored in the replica's data folder and lost along with it
 * @param host the host on which the replica runs
 * @param address the host and port at which other replicas reach it
 */
public record Member(ReplicaId replica, HostName host, String address) {}
