package org.bamboohatch.replication.message;

import org.bamboohatch.kernel.id.HostName;
import org.bamboohatch.kernel.id.ReplicaId;

/**
 * One replica of the log.
 *
 * @param replica its identity, which lives in its data folder
 * @param host its host
 * @param address host and port at which it listens
 */
public record Member(ReplicaId replica, HostName host, String address) {}
