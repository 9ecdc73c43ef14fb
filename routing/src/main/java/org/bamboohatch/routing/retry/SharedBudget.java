package org.bamboohatch.routing.retry;

/**
 * A process's part of a budget of repeated sends that several processes share without asking each other. In any window
 * all of them together send at most {@code ratio} times the requests of that window, plus the reserve.
 *
 * @param tokens repeated sends that may be made now
 * @param filledAt time at which the reserve was last filled, in milliseconds
 */
public record SharedBudget(double tokens, long filledAt) {

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
    public record Terms(double ratio, double reserve, long windowMillis, int processes) {

        /** Checks the number of processes. */
        public Terms {
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
     * @param terms what the budget allows
     * @param now the present time, in milliseconds
     * @return the budget
     */
    public static SharedBudget full(Terms terms, long now) {
        return new SharedBudget(terms.burst(), now);
    }

    /**
     * Fills the reserve.
     *
     * @param terms what the budget allows
     * @param now the present time, in milliseconds
     * @return the new budget
     */
    public SharedBudget at(Terms terms, long now) {
        double inflow = terms.burst() * Math.max(0, now - filledAt) / terms.windowMillis();
        return new SharedBudget(Math.min(terms.burst(), tokens + inflow), Math.max(now, filledAt));
    }

    /**
     * Earns for a request.
     *
     * @param terms what the budget allows
     * @return the new budget
     */
    public SharedBudget earn(Terms terms) {
        return new SharedBudget(Math.min(terms.burst(), tokens + terms.ratio()), filledAt);
    }

    /**
     * Tells whether a repeated send may be made.
     *
     * @return whether the budget covers it
     */
    public boolean covers() {
        return tokens >= 1;
    }

    /**
     * Spends a repeated send.
     *
     * @return the new budget
     */
    public SharedBudget spend() {
        return new SharedBudget(tokens - 1, filledAt);
    }
}
