package org.bamboohatch.replication.consensus;

/**
 * Times of the consensus, in milliseconds.
 *
 * @param minimumElectionTimeoutMillis shortest silence of the leader after which a follower stands for election
 * @param maximumElectionTimeoutMillis longest such silence
 * @param heartbeatIntervalMillis time between two signs of life of the leader
 */
public record ConsensusTiming(
        long minimumElectionTimeoutMillis, long maximumElectionTimeoutMillis, long heartbeatIntervalMillis) {

    /** Times for availability zones that are some milliseconds apart. */
    public static final ConsensusTiming DEFAULT = new ConsensusTiming(600, 1_200, 100);

    /**
     * Checks the times.
     *
     * @throws IllegalArgumentException if the times do not fit together
     */
    public ConsensusTiming {
        if (heartbeatIntervalMillis * 2 > minimumElectionTimeoutMillis
                || minimumElectionTimeoutMillis >= maximumElectionTimeoutMillis) {
            throw new IllegalArgumentException("elections need at least two heartbeats of patience");
        }
    }
}
