package org.bamboohatch.document.fleet;

/**
 * What the work of a model engine costs. An engine works in passes: a pass with writers makes {@code stride} steps,
 * and each step also reads up to {@code chunkTokens} of the prompts that wait.
 *
 * @param slots requests that write or read at the same time
 * @param memoryTokens memory for prompts and answers, in tokens
 * @param stride steps of a pass that has writers; an event of a stream holds as many tokens
 * @param stepMillis time of a step, in milliseconds
 * @param writerMillis time that each writer adds to a step, in milliseconds
 * @param contextMillisPerThousand time that a thousand tokens of a writer's context add to a step, in milliseconds
 * @param readTokensPerSecond prompt tokens that are read in a second
 * @param pairMillisPerMillion time for a million pairs of a token and an earlier one, in milliseconds
 * @param chunkTokens prompt tokens that a step reads at most
 * @param reportLagMillis age of what the engine reports about itself, in milliseconds
 * @param hopMillis time that memory at another engine adds to a step, in milliseconds
 * @param usualPromptTokens mean size of a prompt, in tokens
 * @param usualAnswerTokens mean size of an answer, in tokens
 */
public record EngineModel(
        int slots,
        long memoryTokens,
        int stride,
        double stepMillis,
        double writerMillis,
        double contextMillisPerThousand,
        double readTokensPerSecond,
        double pairMillisPerMillion,
        int chunkTokens,
        double reportLagMillis,
        double hopMillis,
        double usualPromptTokens,
        double usualAnswerTokens) {

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
    public double readMillis(long tokens) {
        return tokens * MILLIS_PER_SECOND / readTokensPerSecond + pairMillis(tokens);
    }

    /**
     * Predicts the time for the pairs of a prompt.
     *
     * @param tokens size of the prompt
     * @return the time in milliseconds
     */
    public double pairMillis(long tokens) {
        return pairMillisPerMillion * tokens / MILLION * tokens / 2;
    }

    /**
     * Predicts the time of a pass without any reading.
     *
     * @param writers requests that write
     * @param contextTokens sum of their contexts, in tokens
     * @return the time in milliseconds
     */
    public double passMillis(int writers, double contextTokens) {
        double step =
                stepMillis + writers * writerMillis + contextMillisPerThousand * contextTokens / MILLIS_PER_SECOND;
        return stride * step;
    }
}
