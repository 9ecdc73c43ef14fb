package org.bamboohatch.replication.message;

import java.util.Comparator;

import org.bamboohatch.kernel.id.ReplicaId;

/**
 * Number of an attempt to elect the founder of a group. Ballots of different proposers differ.
 *
 * @param round the round of the proposer, at least one
 * @param proposer identifies one start of the process that makes the attempt
 */
public record FounderBallot(long round, ReplicaId proposer) implements Comparable<FounderBallot> {

    /** Lower than the ballot of each attempt. */
    public static final FounderBallot NONE = new FounderBallot(0, new ReplicaId("none"));

    private static final Comparator<FounderBallot> ORDER = Comparator.comparingLong(FounderBallot::round)
            .thenComparing(ballot -> ballot.proposer().value());

    @Override
    public int compareTo(FounderBallot other) {
        return ORDER.compare(this, other);
    }
}
