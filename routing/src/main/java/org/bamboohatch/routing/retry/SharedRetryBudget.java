package org.bamboohatch.routing.retry;

/**
 * A process's part of a budget of repeated sends that several processes share without asking each other. In any window
 * all of them together send at most {@code ratio} times the requests of that window, plus the reserve.
 *
 * @param tokens repeated sends that may be made now
 * @param refilledAt time at which the reserve was last filled, in milliseconds
 */
public record SharedRetryBudget(double tokens, long refilledAt) {

    /** Part of the reserve that may be spent at once; the same part again flows in during a window. */
    private static final double BURST_SHARE = 0.45;

    /**
     * What the budget allows.
     *
     * @param ratio repeated sends that a request earns
     * @param reserve repeated sends in each window besides, for all processes together
     * @param windowMillis length of a window, in milliseconds
     * @param processes processes that share the reserve, at least one
     */
    public record Limits(double ratio, double reserve, long windowMillis, int processes) {

        /** Checks the number of processes. */
        public Limits {
            if (processes < 1) {
                throw new IllegalArgumentException("a budget needs at least one process");
            }
        }

        /**
         * Returns the most tokens that are kept.
         *
         * @return this process's burst
         */
        double burst() {
            return reserve * BURST_SHARE / processes;
        }
    }

    /**
     * Begins with a full burst.
     *
     * @param limits what the budget allows
     * @param now the present time, in milliseconds
     * @return the budget
     */
    public static SharedRetryBudget full(Limits limits, long now) {
        return new SharedRetryBudget(limits.burst(), now);
    }

    /**
     * Fills the reserve.
     *
     * @param limits what the budget allows
     * @param now the present time, in milliseconds
     * @return the new budget
     */
    public SharedRetryBudget refill(Limits limits, long now) {
        double inflow = limits.burst() * Math.max(0, now - refilledAt) / limits.windowMillis();
        return new SharedRetryBudget(Math.min(limits.burst(), tokens + inflow), Math.max(now, refilledAt));
    }

    /**
     * Earns for a request.
     *
     * @param limits what the budget allows
     * @return the new budget
     */
    public SharedRetryBudget earn(Limits limits) {
        return new SharedRetryBudget(Math.min(limits.burst(), tokens + limits.ratio()), refilledAt);
    }

    /**
     * Tells whether a repeated send may be made.
     *
     * @return whether the budget allowsRetry it
     */
    public boolean allowsRetry() {
        return tokens >= 1;
    }

    /**
     * Spends a repeated send.
     *
     * @return the new budget
     */
    public SharedRetryBudget spend() {
        return new SharedRetryBudget(tokens - 1, refilledAt);
    }
}
