package org.bamboohatch.entry.dispatch;

/** Reasons to try a request again. */
enum RetryReason {
    /** The target refused the attempt at once, so that no work was done. */
    REFUSED(false, false),
    /** The attempt never reached its run; nothing was done at a target. */
    RULED_OUT(false, true),
    /** The attempt failed at the target, which may have worked on it. */
    FAILED(true, true);

    /** Whether the retry spends from the budget. */
    private final boolean spendsBudget;

    /** Whether a non-idempotent request is tried again only under a key of the caller's. */
    private final boolean needsKey;

    /**
     * Creates a reason.
     *
     * @param spendsBudget whether the retry spends from the budget
     * @param needsKey whether a non-idempotent request is tried again only under a key of the caller's
     */
    RetryReason(boolean spendsBudget, boolean needsKey) {
        this.spendsBudget = spendsBudget;
        this.needsKey = needsKey;
    }

    /**
     * Tells whether the retry spends from the budget.
     *
     * @return whether it spends
     */
    boolean spendsBudget() {
        return spendsBudget;
    }

    /**
     * Tells whether a non-idempotent request is tried again only under a key of the caller's.
     *
     * @return whether a key is needed
     */
    boolean needsKey() {
        return needsKey;
    }
}
