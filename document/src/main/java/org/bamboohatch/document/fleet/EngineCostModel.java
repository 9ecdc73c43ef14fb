package org.bamboohatch.document.fleet;

/**
 * Cost model of a model engine. An engine works in passes. A pass that decodes makes {@code stepsPerPass} steps, and
 * each step also prefills up to {@code prefillChunkTokens} of the waiting prompts.
 *
 * @param slots maximum number of requests that are decoded or prefilled concurrently
 * @param memoryTokens KV cache capacity, in tokens
 * @param stepsPerPass number of steps of a pass that decodes, which is also the number of tokens in a stream event
 * @param stepMillis base time of a step, in milliseconds
 * @param stepMillisPerSequence time that each decoding sequence adds to a step, in milliseconds
 * @param millisPerThousandContextTokens time that a thousand context tokens of decoding sequences add to a step, in
 *     milliseconds
 * @param prefillTokensPerSecond prefill rate, in prompt tokens per second
 * @param attentionMillisPerMillionPairs attention time for a million pairs of a token and an earlier one, in
 *     milliseconds
 * @param prefillChunkTokens maximum number of prompt tokens that a step prefills
 * @param reportLagMillis age of the state that the engine reports about itself, in milliseconds
 * @param remoteMemoryStepMillis time that KV cache at another engine adds to a step, in milliseconds
 * @param meanPromptTokens mean length of a prompt, in tokens
 * @param meanOutputTokens mean length of an output, in tokens
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

    private static final double THOUSAND = 1_000;

    private static final double MILLION = 1_000_000;

    /**
     * Predicts the time that an otherwise idle engine takes to prefill a prompt.
     *
     * @param tokens length of the prompt, in tokens
     * @return the prefill time, in milliseconds
     */
    public double prefillMillis(long tokens) {
        return tokens * THOUSAND / prefillTokensPerSecond + attentionMillis(tokens);
    }

    /**
     * Predicts the part of the prefill time that attention takes, which grows with the square of the prompt length.
     *
     * @param tokens length of the prompt, in tokens
     * @return the attention time, in milliseconds
     */
    public double attentionMillis(long tokens) {
        return attentionMillisPerMillionPairs * tokens / MILLION * tokens / 2;
    }

    /**
     * Predicts the time of a pass without prefill.
     *
     * @param sequences number of decoding sequences
     * @param contextTokens sum of their context lengths, in tokens
     * @return the duration of the pass, in milliseconds
     */
    public double decodePassMillis(int sequences, double contextTokens) {
        double step = stepMillis
                + sequences * stepMillisPerSequence
                + millisPerThousandContextTokens * contextTokens / THOUSAND;
        return stepsPerPass * step;
    }

    /**
     * Predicts the time that an engine takes to generate a response while its other slots decode after mean prompts.
     *
     * @param promptTokens length of the prompt, in tokens
     * @param outputTokens length of the output, in tokens
     * @return the time until the response is complete, in milliseconds
     */
    public double generationMillis(long promptTokens, long outputTokens) {
        double contextTokens = promptTokens + (slots - 1) * meanPromptTokens;
        double passes = Math.ceil((double) outputTokens / stepsPerPass);
        return prefillMillis(promptTokens) + passes * decodePassMillis(slots, contextTokens);
    }
}
