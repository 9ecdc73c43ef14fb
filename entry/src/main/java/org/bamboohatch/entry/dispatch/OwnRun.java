package org.bamboohatch.entry.dispatch;

/**
 * A run of this entry at a target.
 *
 * @param memoryTokens memory that it holds, in tokens
 * @param promptTokens length of the prompt, in tokens
 * @param priority priority at the target
 * @param isLong whether the share of such prompts is capped
 * @param reported whether the target's last report contains it
 * @param hasFirstToken whether the prompt is processed
 */
record OwnRun(
        long memoryTokens, long promptTokens, int priority, boolean isLong, boolean reported, boolean hasFirstToken) {

    /**
     * Returns a copy that the target's report contains.
     *
     * @return the copy
     */
    OwnRun withReport() {
        return new OwnRun(memoryTokens, promptTokens, priority, isLong, true, hasFirstToken);
    }

    /**
     * Returns a copy whose prompt is processed.
     *
     * @return the copy
     */
    OwnRun withFirstToken() {
        return new OwnRun(memoryTokens, promptTokens, priority, isLong, reported, true);
    }
}
