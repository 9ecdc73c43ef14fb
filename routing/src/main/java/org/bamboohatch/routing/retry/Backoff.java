package org.bamboohatch.routing.retry;

import java.util.random.RandomGenerator;

/** Exponential backoff with full jitter: delays are drawn uniformly from zero to a bound that doubles per attempt. */
public final class Backoff {

    /** Upper bound of the delay before any doubling, in milliseconds. */
    private static final long BASE_MS = 10;

    /** Maximum delay, in milliseconds. */
    private static final long MAX_MS = 1_000;

    /** Number of doublings that certainly reach the maximum; limits the shift to avoid an overflow. */
    private static final int MAX_DOUBLINGS = 10;

    private Backoff() {}

    /**
     * Draws the delay before the next attempt.
     *
     * @param attempt number of the failed attempt, starting at one
     * @param random source of the jitter
     * @return the delay, in milliseconds
     */
    public static long delayMillis(int attempt, RandomGenerator random) {
        long bound = Math.min(MAX_MS, BASE_MS << Math.min(MAX_DOUBLINGS, attempt));
        return random.nextLong(bound + 1);
    }
}
