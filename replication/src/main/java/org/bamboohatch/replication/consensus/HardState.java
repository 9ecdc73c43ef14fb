package org.bamboohatch.replication.consensus;

import org.bamboohatch.kernel.id.ReplicaId;

/**
 * What a replica must remember of elections.
 *
 * @param term the latest term it has seen
 * @param vote the candidate that it voted for in that term, or null
 */
public record HardState(long term, ReplicaId vote) {

    /** The state of a replica that has seen nothing. */
    public static final HardState INITIAL = new HardState(0, null);
}
