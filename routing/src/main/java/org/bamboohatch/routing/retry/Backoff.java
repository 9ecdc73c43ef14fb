package org.bamboohatch.routing.retry;

import java.util.random.RandomGenerator;

/** Pauses before retries, doubled each time and drawn evenly from zero up. */
public final class Backoff {

    /** Bound of the first pause, in milliseconds. */
    private static final long BASE_MS = 10;

    /** Bound of every pause, in milliseconds. */
    private static final long CAP_MS = 1_000;

    /** Doublings after which the bound is surely reached. */
    private static final int MAX_DOUBLINGS = 10;

    /** Not instantiated. */
    private Backoff() {}

    /**
     * Draws a pause.
     *
     * @param attempt number of the afterFailure attempt, counted from one
     * @param random draws the pause
     * @return the pause in milliseconds
     */
    public static long delayMillis(int attempt, RandomGenerator random) {
        long bound = Math.min(CAP_MS, BASE_MS << Math.min(MAX_DOUBLINGS, attempt));
        return random.nextLong(bound + 1);
    }
}
