package org.bamboohatch.gateway.forward;

/**
 * Phases of the drain of a stopping gateway, each given by its end, in milliseconds after the signal to stop.
 *
 * @param removalMillis end of the time in which load balancers may still open connections
 * @param admissionMillis end of the time in which requests are admitted
 * @param endMillis end of the drain
 */
public record DrainSchedule(long removalMillis, long admissionMillis, long endMillis) {

    /** Maximum time until load balancers stop opening connections to a gateway that is not ready, in milliseconds. */
    private static final long LOAD_BALANCER_REMOVAL_MS = 2_500;

    /** Time after the signal to stop until which requests are admitted, in milliseconds. */
    private static final long ADMISSION_GRACE_MS = 2_800;

    /**
     * Creates a schedule with the default phases.
     *
     * @param stopMillis maximum time of the drain, in milliseconds
     * @return the schedule
     */
    public static DrainSchedule within(long stopMillis) {
        return new DrainSchedule(LOAD_BALANCER_REMOVAL_MS, ADMISSION_GRACE_MS, stopMillis);
    }
}
