package org.bamboohatch.routing.target;

import java.util.List;

import org.bamboohatch.kernel.id.TargetName;

/**
 * State of a target as known to an entry at the time of a routing decision.
 *
 * @param name name of the target
 * @param sameZone whether the target is in the availability zone of the entry
 * @param memoryTokens KV cache capacity, in tokens; zero for a plain service
 * @param reservedTokens reserved KV cache, in tokens
 * @param longPromptReservedTokens KV cache reserved by long prompts of this entry, in tokens
 * @param runs number of runs in progress
 * @param maximumRuns maximum number of concurrent runs
 * @param waitingTokens prompt tokens that are not prefilled yet, indexed by priority; zero is the most urgent
 * @param millisPerPromptToken prefill time per prompt token, in milliseconds
 * @param available whether the target accepts new runs
 */
public record TargetView(
        TargetName name,
        boolean sameZone,
        long memoryTokens,
        long reservedTokens,
        long longPromptReservedTokens,
        int runs,
        int maximumRuns,
        List<Long> waitingTokens,
        double millisPerPromptToken,
        boolean available) {

    /** Copies the list to keep the record immutable. */
    public TargetView {
        waitingTokens = List.copyOf(waitingTokens);
    }

    /**
     * Indicates whether the target is available and has a free run and enough free memory for a request. Memory is not
     * checked for a plain service.
     *
     * @param tokens KV cache that the request needs, in tokens
     * @return {@code true} if the request can start now
     */
    public boolean fits(long tokens) {
        boolean memoryLeft = memoryTokens == 0 || reservedTokens + tokens <= memoryTokens;
        return available && runs < maximumRuns && memoryLeft;
    }

    /**
     * Returns the time until the prefill of a new prompt begins, which is the prefill time of all waiting prompts with
     * the same or a more urgent priority.
     *
     * @param priority priority of the new prompt; zero is the most urgent
     * @return the wait, in milliseconds
     */
    public double waitMillis(int priority) {
        long ahead = 0;
        for (int index = 0; index <= priority && index < waitingTokens.size(); index++) {
            ahead += waitingTokens.get(index);
        }
        return ahead * millisPerPromptToken;
    }

    /**
     * Returns the prefill time of all waiting prompts.
     *
     * @return the backlog, in milliseconds
     */
    public double backlogMillis() {
        return waitMillis(waitingTokens.size() - 1);
    }
}
