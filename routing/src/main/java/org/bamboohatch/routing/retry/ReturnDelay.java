package org.bamboohatch.routing.retry;

import java.time.Duration;
import java.util.OptionalLong;

/**
 * Decides when the caller of a refused request may return. If all targets have asked for a pause, callers return after the
 * shortest of them, spread so that they do not overload the first target that is available again.
 */
public final class ReturnDelay {

    /** Delay if no target took the request and none has asked for a pause. */
    private static final Duration NO_TARGET = Duration.ofMillis(300);

    /** Fraction of the pause over which the return of callers is spread. */
    private static final double SPREAD = 0.25;

    private ReturnDelay() {}

    /**
     * Returns the delay of one caller.
     *
     * @param shortestPauseMillis time until the first target accepts requests, in milliseconds; empty unless all targets
     *     have asked for a pause
     * @param requestHash hash of the request's id, which determines its place in the spread
     * @return the delay
     */
    public static Duration afterRefusal(OptionalLong shortestPauseMillis, long requestHash) {
        if (shortestPauseMillis.isEmpty()) {
            return NO_TARGET;
        }
        double place = (requestHash >>> 1) / (double) Long.MAX_VALUE;
        return Duration.ofMillis((long) Math.ceil(shortestPauseMillis.getAsLong() * (1 + SPREAD * place)));
    }
}
