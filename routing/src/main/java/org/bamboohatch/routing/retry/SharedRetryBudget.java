package org.bamboohatch.routing.retry;

/**
 * Local part of a retry budget that several processes share without communication. The retries of all processes within
 * any window do not exceed {@code ratio} times the number of requests in that window plus the reserve.
 *
 * @param tokens number of retries that are currently allowed
 * @param refilledAt time of the last refill, in milliseconds
 */
public record SharedRetryBudget(double tokens, long refilledAt) {

    /**
     * Share of the reserve that may be spent at once. The same share is refilled per window, so that the two together
     * remain within the reserve.
     */
    private static final double BURST_SHARE = 0.45;

    /**
     * Limits of the shared budget.
     *
     * @param ratio retries earned by a request
     * @param reserve additional retries per window, for all processes together
     * @param windowMillis length of a window, in milliseconds
     * @param processes number of processes that share the reserve, at least one
     */
    public record Limits(double ratio, double reserve, long windowMillis, int processes) {

        /** Validates the number of processes. */
        public Limits {
            if (processes < 1) {
                throw new IllegalArgumentException("a retry budget requires at least one process");
            }
        }

        /** Returns the maximum number of tokens that this process may hold. */
        double burst() {
            return reserve * BURST_SHARE / processes;
        }
    }

    /**
     * Creates a budget that holds the maximum number of tokens.
     *
     * @param limits limits of the shared budget
     * @param now current time, in milliseconds
     * @return the new budget
     */
    public static SharedRetryBudget full(Limits limits, long now) {
        return new SharedRetryBudget(limits.burst(), now);
    }

    /**
     * Refills the reserve for the time that has passed since the last refill. A clock that goes back adds nothing.
     *
     * @param limits limits of the shared budget
     * @param now current time, in milliseconds
     * @return the updated budget
     */
    public SharedRetryBudget refill(Limits limits, long now) {
        double inflow = limits.burst() * Math.max(0, now - refilledAt) / limits.windowMillis();
        return new SharedRetryBudget(Math.min(limits.burst(), tokens + inflow), Math.max(now, refilledAt));
    }

    /**
     * Adds the tokens that a request earns.
     *
     * @param limits limits of the shared budget
     * @return the updated budget
     */
    public SharedRetryBudget earn(Limits limits) {
        return new SharedRetryBudget(Math.min(limits.burst(), tokens + limits.ratio()), refilledAt);
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
    public SharedRetryBudget spend() {
        return new SharedRetryBudget(tokens - 1, refilledAt);
    }
}
