package org.bamboohatch.gateway.forward;

/**
 * Phases of the drain of a stopping gateway, each given by its end, in milliseconds after the signal to stop.
 *
 * @param removalMillis end of the time in which load balancers may still open connections
 * @param admissionMillis end of the time in which requests are admitted
 * @param answerMillis end of the time in which requests wait for their targets
 * @param endMillis end of the drain
 */
public record DrainSchedule(long removalMillis, long admissionMillis, long answerMillis, long endMillis) {

    /** Maximum time until load balancers stop opening connections to a gateway that is not ready, in milliseconds. */
    private static final long LOAD_BALANCER_REMOVAL_MS = 2_500;

    /** Time after the signal to stop until which requests are admitted, in milliseconds. */
    private static final long ADMISSION_GRACE_MS = 2_800;

    /** Time in which the last responses are sent and read by their callers, in milliseconds. */
    private static final long LAST_RESPONSES_MS = 600;

    /** Checks that the phases follow one another. */
    public DrainSchedule {
        if (removalMillis > admissionMillis || admissionMillis > answerMillis || answerMillis > endMillis) {
            throw new IllegalArgumentException("phases of a drain out of order");
        }
    }

    /**
     * Creates a schedule with the default phases, or shorter ones if there is not enough time.
     *
     * @param stopMillis maximum time of the drain, in milliseconds
     * @return the schedule
     */
    public static DrainSchedule within(long stopMillis) {
        long answerMillis = Math.max(0, stopMillis - LAST_RESPONSES_MS);
        return new DrainSchedule(
                Math.min(LOAD_BALANCER_REMOVAL_MS, answerMillis),
                Math.min(ADMISSION_GRACE_MS, answerMillis),
                answerMillis,
                stopMillis);
    }
}
