package org.bamboohatch.routing.target;

import java.util.List;

import org.bamboohatch.kernel.id.TargetName;

/**
 * What an entry knows of a target when it decides.
 *
 * @param name name of the target
 * @param sameZone whether the target is in the entry's availability zone
 * @param memoryTokens KV memory, in tokens, zero for a plain service
 * @param reservedTokens memory that is held, in tokens
 * @param longPromptReservedTokens memory that long prompts of this entry hold, in tokens
 * @param runs runs that are under way
 * @param maximumRuns runs that the target takes at the same time
 * @param waitingTokens prompt tokens that are not processed, by priority, zero first
 * @param millisPerPromptToken prefill time, in milliseconds a token
 * @param available whether the target takes new work
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

    /** Makes the list immutable. */
    public TargetView {
        waitingTokens = List.copyOf(waitingTokens);
    }

    /**
     * Tells whether a request fits now.
     *
     * @param tokens the memory that it needs, in tokens
     * @return whether there is a run and memory free
     */
    public boolean fits(long tokens) {
        boolean memoryLeft = memoryTokens == 0 || reservedTokens + tokens <= memoryTokens;
        return available && runs < maximumRuns && memoryLeft;
    }

    /**
     * Returns the time until prompts of a priority begin to be processed.
     *
     * @param priority the priority, zero is the most urgent
     * @return the time in milliseconds
     */
    public double waitMillis(int priority) {
        long ahead = 0;
        for (int index = 0; index <= priority && index < waitingTokens.size(); index++) {
            ahead += waitingTokens.get(index);
        }
        return ahead * millisPerPromptToken;
    }

    /**
     * Returns the time until all prompts are processed.
     *
     * @return the time in milliseconds
     */
    public double backlogMillis() {
        return waitMillis(waitingTokens.size() - 1);
    }
}
