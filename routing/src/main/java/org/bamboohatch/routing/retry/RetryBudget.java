package org.bamboohatch.routing.retry;

/**
 * Token bucket that limits retries to a fraction of the successful requests, so that retries cannot amplify an
 * overload. A small reserve refills over time, so that a service with few requests can retry as well.
 *
 * @param tokens number of retries that are currently allowed
 * @param refilledAt time of the last refill, in milliseconds
 */
public record RetryBudget(double tokens, long refilledAt) {

    /** Tokens earned by a successful request. */
    private static final double TOKENS_PER_SUCCESS = 0.1;

    /** Maximum number of tokens. */
    private static final double MAX_TOKENS = 50;

    /** Number of tokens up to which the budget refills over time. */
    private static final double RESERVE_TOKENS = 10;

    /** Refill rate of the reserve, in tokens per millisecond. */
    private static final double TOKENS_PER_MS = 0.005;

    /** A budget with a full reserve that was last refilled at time zero. */
    public static final RetryBudget INITIAL = new RetryBudget(RESERVE_TOKENS, 0);

    /**
     * Refills the reserve for the time that has passed since the last refill. Tokens beyond the reserve are kept.
     *
     * @param now current time, in milliseconds
     * @return the updated budget
     */
    public RetryBudget refill(long now) {
        double filled = Math.min(RESERVE_TOKENS, tokens + (now - refilledAt) * TOKENS_PER_MS);
        return new RetryBudget(Math.max(tokens, filled), now);
    }

    /**
     * Adds the tokens that a successful request earns.
     *
     * @return the updated budget
     */
    public RetryBudget earn() {
        return new RetryBudget(Math.min(MAX_TOKENS, tokens + TOKENS_PER_SUCCESS), refilledAt);
    }

    /**
     * Indicates whether the budget holds at least one token.
     *
     * @return {@code true} if a retry is allowed
     */
    public boolean allowsRetry() {
        return tokens >= 1;
    }

    /**
     * Removes the token of a retry.
     *
     * @return the updated budget
     */
    public RetryBudget spend() {
        return new RetryBudget(Math.max(0, tokens - 1), refilledAt);
    }
}
