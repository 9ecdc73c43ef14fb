package org.bamboohatch.routing.retry;

/**
 * Retries that may still be made: each success earns a part of one, so that retries cannot multiply an overload.
 *
 * @param tokens retries that may be made now
 */
public record RetryBudget(double tokens) {

    /** Retries that a success earns. */
    private static final double EARNED_PER_SUCCESS = 0.1;

    /** Retries at most. */
    private static final double MAX_TOKENS = 50;

    /** The budget at the start. */
    public static final RetryBudget INITIAL = new RetryBudget(10);

    /**
     * Earns for a success.
     *
     * @return the new budget
     */
    public RetryBudget earn() {
        return new RetryBudget(Math.min(MAX_TOKENS, tokens + EARNED_PER_SUCCESS));
    }

    /**
     * Tells whether a retry may be made.
     *
     * @return whether the budget covers it
     */
    public boolean covers() {
        return tokens >= 1;
    }

    /**
     * Spends a retry.
     *
     * @return the new budget
     */
    public RetryBudget spend() {
        return new RetryBudget(Math.max(0, tokens - 1));
    }
}
