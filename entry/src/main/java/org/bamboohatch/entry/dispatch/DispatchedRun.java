package org.bamboohatch.entry.dispatch;

/**
 * A run that this entry has dispatched to a target and that has not ended.
 *
 * @param memoryTokens KV memory that the run reserves, in tokens, zero at a target of a plain service
 * @param promptTokens length of the prompt, in tokens
 * @param priority priority at the target; zero is the most urgent
 * @param isLong whether the run counts against the memory share of long prompts
 * @param reported whether the latest load report of the target includes the run
 * @param hasFirstToken whether the prefill has ended
 */
record DispatchedRun(
        long memoryTokens, long promptTokens, int priority, boolean isLong, boolean reported, boolean hasFirstToken) {

    DispatchedRun withReport() {
        return new DispatchedRun(memoryTokens, promptTokens, priority, isLong, true, hasFirstToken);
    }

    DispatchedRun withFirstToken() {
        return new DispatchedRun(memoryTokens, promptTokens, priority, isLong, reported, true);
    }
}
