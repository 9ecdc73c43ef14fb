package org.bamboohatch.document.fleet;

/**
 * What the work of a model engine costs. An engine works in passes: a pass with sequences makes {@code stepsPerPass} steps,
 * and each step also reads up to {@code prefillChunkTokens} of the prompts that wait.
 *
 * @param slots requests that write or read at the same time
 * @param memoryTokens memory for prompts and answers, in tokens
 * @param stepsPerPass steps of a pass that has sequences; an event of a stream holds as many tokens
 * @param stepMillis time of a step, in milliseconds
 * @param stepMillisPerSequence time that each writer adds to a step, in milliseconds
 * @param millisPerThousandContextTokens time that a thousand tokens of a writer's context add to a step, in milliseconds
 * @param prefillTokensPerSecond prompt tokens that are read in a second
 * @param attentionMillisPerMillionPairs time for a million pairs of a token and an earlier one, in milliseconds
 * @param prefillChunkTokens prompt tokens that a step reads at most
 * @param reportLagMillis age of what the engine reports about itself, in milliseconds
 * @param remoteMemoryStepMillis time that memory at another engine adds to a step, in milliseconds
 * @param meanPromptTokens mean size of a prompt, in tokens
 * @param meanOutputTokens mean size of an answer, in tokens
 */
public record EngineCostModel(
        int slots,
        long memoryTokens,
        int stepsPerPass,
        double stepMillis,
        double stepMillisPerSequence,
        double millisPerThousandContextTokens,
        double prefillTokensPerSecond,
        double attentionMillisPerMillionPairs,
        int prefillChunkTokens,
        double reportLagMillis,
        double remoteMemoryStepMillis,
        double meanPromptTokens,
        double meanOutputTokens) {

    /** Milliseconds in a second. */
    private static final double MILLIS_PER_SECOND = 1_000;

    /** Tokens and pairs are counted in thousands and millions. */
    private static final double MILLION = 1_000_000;

    /**
     * Predicts the time that an otherwise idle engine takes to read a prompt.
     *
     * @param tokens size of the prompt
     * @return the time in milliseconds
     */
    public double prefillMillis(long tokens) {
        return tokens * MILLIS_PER_SECOND / prefillTokensPerSecond + attentionMillis(tokens);
    }

    /**
     * Predicts the time for the pairs of a prompt.
     *
     * @param tokens size of the prompt
     * @return the time in milliseconds
     */
    public double attentionMillis(long tokens) {
        return attentionMillisPerMillionPairs * tokens / MILLION * tokens / 2;
    }

    /**
     * Predicts the time of a pass without any reading.
     *
     * @param sequences requests that write
     * @param contextTokens sum of their contexts, in tokens
     * @return the time in milliseconds
     */
    public double decodePassMillis(int sequences, double contextTokens) {
        double step = stepMillis
                + sequences * stepMillisPerSequence
                + millisPerThousandContextTokens * contextTokens / MILLIS_PER_SECOND;
        return stepsPerPass * step;
    }
}
