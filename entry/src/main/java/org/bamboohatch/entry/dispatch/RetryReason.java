package org.bamboohatch.entry.dispatch;

/** Reasons to retry a request, with the conditions under which each permits a retry. */
enum RetryReason {
    /** The target refused the attempt before doing any work. */
    REFUSED(false, false),
    /** The attempt never started its run, so no target has done any work for it. */
    RULED_OUT(false, true),
    /** The attempt failed at the target, which may have worked on it. */
    FAILED(true, true);

    private final boolean spendsBudget;

    private final boolean requiresCallerKey;

    /**
     * Creates a reason with its retry conditions.
     *
     * @param spendsBudget whether the retry is charged to the retry budget
     * @param requiresCallerKey whether a non-idempotent request is retried only if the caller supplied its idempotency
     *     key
     */
    RetryReason(boolean spendsBudget, boolean requiresCallerKey) {
        this.spendsBudget = spendsBudget;
        this.requiresCallerKey = requiresCallerKey;
    }

    boolean spendsBudget() {
        return spendsBudget;
    }

    boolean requiresCallerKey() {
        return requiresCallerKey;
    }
}
