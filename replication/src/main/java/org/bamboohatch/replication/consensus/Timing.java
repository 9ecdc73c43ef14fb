package org.bamboohatch.replication.consensus;

/**
 * Times of the consensus, in milliseconds.
 *
 * @param electionMinimum shortest silence of the leader after which a follower stands for election
 * @param electionMaximum longest such silence
 * @param heartbeat time between two signs of life of the leader
 */
public record Timing(long electionMinimum, long electionMaximum, long heartbeat) {

    /** Times for availability zones that are some milliseconds apart. */
    public static final Timing DEFAULT = new Timing(600, 1_200, 100);

    /**
     * Checks the times.
     *
     * @throws IllegalArgumentException if the times do not fit together
     */
    public Timing {
        if (heartbeat * 2 > electionMinimum || electionMinimum >= electionMaximum) {
            throw new IllegalArgumentException("elections need at least two heartbeats of patience");
        }
    }
}
