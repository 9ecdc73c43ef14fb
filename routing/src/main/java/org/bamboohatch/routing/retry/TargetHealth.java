package org.bamboohatch.routing.retry;

/**
 * Passive health state of a target as observed by one client process. A target that fails repeatedly is ejected for a
 * backoff period and then probed with a single request.
 *
 * @param failures number of consecutive failures
 * @param ejections number of consecutive ejections
 * @param ejectedUntil end of the current ejection, in milliseconds
 * @param probePendingUntil time until which the result of a probe is awaited, in milliseconds
 */
public record TargetHealth(int failures, int ejections, long ejectedUntil, long probePendingUntil) {

    /** Number of consecutive failures that eject a target. */
    private static final int MAX_FAILURES = 3;

    /** Duration of the first ejection, in milliseconds; doubles with each further one. */
    private static final long BASE_EJECTION_MS = 500;

    /** Maximum duration of an ejection, in milliseconds. */
    private static final long MAX_EJECTION_MS = 15_000;

    /** Time after which a probe without a result is repeated, in milliseconds. Exceeds the usual response time. */
    private static final long PROBE_TIMEOUT_MS = 5_000;

    /** Number of doublings that certainly reach the maximum; limits the shift to avoid an overflow. */
    private static final int MAX_DOUBLINGS = 6;

    /** Health of a target without failures. */
    public static final TargetHealth HEALTHY = new TargetHealth(0, 0, 0, 0);

    /**
     * Indicates whether a request may be sent to the target.
     *
     * @param now current time, in milliseconds
     * @return {@code true} if the target is neither ejected nor awaiting the result of a probe
     */
    public boolean isAvailable(long now) {
        return now >= ejectedUntil && now >= probePendingUntil;
    }

    /**
     * Returns the health after a request was sent. The first request after an ejection is a probe. A probe may end
     * without a result because its caller disconnected; another one is then sent after a timeout.
     *
     * @param now current time, in milliseconds
     * @return the updated health
     */
    public TargetHealth afterDispatch(long now) {
        return ejections == 0 ? this : new TargetHealth(failures, ejections, ejectedUntil, now + PROBE_TIMEOUT_MS);
    }

    /**
     * Returns the health after a successful request.
     *
     * @return the updated health
     */
    public TargetHealth afterSuccess() {
        return HEALTHY;
    }

    /**
     * Returns the health after a failed request. A target that was ejected before is ejected again by a single failure.
     *
     * @param now current time, in milliseconds
     * @return the updated health
     */
    public TargetHealth afterFailure(long now) {
        int consecutiveFailures = failures + 1;
        if (consecutiveFailures < MAX_FAILURES && ejections == 0) {
            return new TargetHealth(consecutiveFailures, 0, 0, 0);
        }
        long ejectionMillis = Math.min(MAX_EJECTION_MS, BASE_EJECTION_MS << Math.min(MAX_DOUBLINGS, ejections));
        return new TargetHealth(0, ejections + 1, now + ejectionMillis, 0);
    }
}
