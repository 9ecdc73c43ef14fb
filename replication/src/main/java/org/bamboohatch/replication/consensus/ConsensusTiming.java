package org.bamboohatch.replication.consensus;

/**
 * Election timeouts and heartbeat interval.
 *
 * @param minimumElectionTimeoutMillis the shortest time without a message from the leader after which a follower starts
 * an election, in milliseconds
 * @param maximumElectionTimeoutMillis the upper bound of randomized election timeouts, in milliseconds; also the time
 * without a quorum's replies after which a leader steps down
 * @param heartbeatIntervalMillis the time between two heartbeats of a leader, in milliseconds
 */
public record ConsensusTiming(
        long minimumElectionTimeoutMillis, long maximumElectionTimeoutMillis, long heartbeatIntervalMillis) {

    /** Timing for availability zones with a network latency of some milliseconds between them. */
    public static final ConsensusTiming DEFAULT = new ConsensusTiming(600, 1_200, 100);

    /**
     * Validates the timing.
     *
     * @throws IllegalArgumentException if the minimum election timeout is below two heartbeat intervals or not below
     * the maximum
     */
    public ConsensusTiming {
        if (heartbeatIntervalMillis * 2 > minimumElectionTimeoutMillis
                || minimumElectionTimeoutMillis >= maximumElectionTimeoutMillis) {
            throw new IllegalArgumentException(
                    "the minimum election timeout must be at least two heartbeat intervals and below the maximum");
        }
    }
}
