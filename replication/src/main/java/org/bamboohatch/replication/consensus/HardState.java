package org.bamboohatch.replication.consensus;

import org.bamboohatch.kernel.id.ReplicaId;

/**
 * The election state that a replica must persist before it sends messages that depend on it.
 *
 * @param term the latest term that the replica has seen
 * @param vote the candidate that received the replica's vote in that term, or {@code null}
 */
public record HardState(long term, ReplicaId vote) {

    /** The state of a replica that has not seen any term. */
    public static final HardState INITIAL = new HardState(0, null);
}
