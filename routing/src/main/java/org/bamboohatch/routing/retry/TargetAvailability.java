package org.bamboohatch.routing.retry;

/**
 * Whether one client process may send requests to a target: the pause that the target has asked for, and its observed
 * health. A pause is binding, also for probes and when no other target is left; health only ranks targets.
 *
 * @param health health as observed by this process
 * @param pausedUntil time until which the target has asked for no requests, in milliseconds
 */
public record TargetAvailability(TargetHealth health, long pausedUntil) {

    /** Longest pause that a target can ask for, in milliseconds; limits the effect of a nonsensical value. */
    static final long MAX_PAUSE_MS = 600_000;

    /** Availability of a target that has neither failed nor asked for a pause. */
    public static final TargetAvailability INITIAL = new TargetAvailability(TargetHealth.HEALTHY, 0);

    /**
     * Indicates whether the target wants no requests at present.
     *
     * @param now current time, in milliseconds
     * @return whether its pause is not over
     */
    public boolean isPaused(long now) {
        return now < pausedUntil;
    }

    /**
     * Indicates whether the target should get requests in preference to others.
     *
     * @param now current time, in milliseconds
     * @return whether it is neither paused nor ejected
     */
    public boolean isPreferred(long now) {
        return !isPaused(now) && health.isAvailable(now);
    }

    /**
     * Returns the availability with other health. Does not end a pause.
     *
     * @param nextHealth the observed health
     * @return the updated availability
     */
    public TargetAvailability withHealth(TargetHealth nextHealth) {
        return new TargetAvailability(nextHealth, pausedUntil);
    }

    /**
     * Returns the availability after the target has asked for a pause. A shorter pause does not replace a longer one.
     *
     * @param millis duration of the pause, in milliseconds; at most ten minutes of it are granted
     * @param now current time, in milliseconds
     * @return the updated availability
     */
    public TargetAvailability afterPauseRequest(long millis, long now) {
        long until = now + Math.min(MAX_PAUSE_MS, Math.max(0, millis));
        return new TargetAvailability(health, Math.max(pausedUntil, until));
    }
}
