package org.bamboohatch.routing.retry;

/**
 * Retries that may still be made: each success earns a part of one, so that retries cannot multiply an overload. A
 * small reserve fills up with time, so that a service with few requests can retry too.
 *
 * @param tokens retries that may be made now
 * @param refilledAt time at which the reserve was last filled, in milliseconds
 */
public record RetryBudget(double tokens, long refilledAt) {

    /** Retries that a success earns. */
    private static final double EARNED_PER_SUCCESS = 0.1;

    /** Retries at most. */
    private static final double MAX_TOKENS = 50;

    /** Retries up to which the reserve fills with time. */
    private static final double RESERVE_TOKENS = 10;

    /** Retries a millisecond with which the reserve fills. */
    private static final double FILL_PER_MS = 0.005;

    /** The budget at the start. */
    public static final RetryBudget INITIAL = new RetryBudget(RESERVE_TOKENS, 0);

    /**
     * Fills the reserve.
     *
     * @param now the present time, in milliseconds
     * @return the new budget
     */
    public RetryBudget refill(long now) {
        double filled = Math.min(RESERVE_TOKENS, tokens + (now - refilledAt) * FILL_PER_MS);
        return new RetryBudget(Math.max(tokens, filled), now);
    }

    /**
     * Earns for a success.
     *
     * @return the new budget
     */
    public RetryBudget earn() {
        return new RetryBudget(Math.min(MAX_TOKENS, tokens + EARNED_PER_SUCCESS), refilledAt);
    }

    /**
     * Tells whether a retry may be made.
     *
     * @return whether the budget allowsRetry it
     */
    public boolean allowsRetry() {
        return tokens >= 1;
    }

    /**
     * Spends a retry.
     *
     * @return the new budget
     */
    public RetryBudget spend() {
        return new RetryBudget(Math.max(0, tokens - 1), refilledAt);
    }
}
