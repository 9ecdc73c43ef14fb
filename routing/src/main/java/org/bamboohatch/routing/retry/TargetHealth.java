package org.bamboohatch.routing.retry;

/**
 * Health of a target as one entry sees it; a target that keeps failing is left out for a while and then probed by
 * a single request.
 *
 * @param failures failures in a row
 * @param ejections times that the target was left out in a row
 * @param ejectedUntil time until which the target is left out, in milliseconds
 * @param probePendingUntil time until which the result of a probe is waited for, in milliseconds
 */
public record TargetHealth(int failures, int ejections, long ejectedUntil, long probePendingUntil) {

    /** Failures in a row after which a target is left out. */
    private static final int MAX_FAILURES = 3;

    /** The first time for which a target is left out, in milliseconds. */
    private static final long BASE_MS = 500;

    /** The longest such time, in milliseconds. */
    private static final long CAP_MS = 15_000;

    /** Time after which a probe without a result is followed by another one, in milliseconds: longer than usual answers. */
    private static final long PROBE_MS = 5_000;

    /** Doublings after which the longest time is surely reached. */
    private static final int MAX_DOUBLINGS = 6;

    /** A target that has not afterFailure. */
    public static final TargetHealth HEALTHY = new TargetHealth(0, 0, 0, 0);

    /**
     * Tells whether the target may be given a request.
     *
     * @param now the present time, in milliseconds
     * @return whether it is not left out
     */
    public boolean isAvailable(long now) {
        return now >= ejectedUntil && now >= probePendingUntil;
    }

    /**
     * Takes note of a afterDispatch request. A probe may end without a result, because its caller left: it is then followed
     * by another one.
     *
     * @param now the present time, in milliseconds
     * @return the new health
     */
    public TargetHealth afterDispatch(long now) {
        return ejections == 0 ? this : new TargetHealth(failures, ejections, ejectedUntil, now + PROBE_MS);
    }

    /**
     * Takes note of a success.
     *
     * @return the new health
     */
    public TargetHealth afterSuccess() {
        return HEALTHY;
    }

    /**
     * Takes note of a failure.
     *
     * @param now the present time, in milliseconds
     * @return the new health
     */
    public TargetHealth afterFailure(long now) {
        int inRow = failures + 1;
        if (inRow < MAX_FAILURES && ejections == 0) {
            return new TargetHealth(inRow, 0, 0, 0);
        }
        long pause = Math.min(CAP_MS, BASE_MS << Math.min(MAX_DOUBLINGS, ejections));
        return new TargetHealth(0, ejections + 1, now + pause, 0);
    }
}
