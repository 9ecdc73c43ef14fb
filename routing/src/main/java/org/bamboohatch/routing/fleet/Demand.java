package org.bamboohatch.routing.fleet;

/**
 * Resources and latency that a request requires.
 *
 * @param promptTokens length of the prompt, in tokens; zero for a request to a plain service
 * @param outputTokens expected length of the output, in tokens
 * @param targetLatencyMillis time in which a response, or the first event of a stream, has its full value, in
 *     milliseconds
 * @param maximumInterTokenMillis maximum time between two events of a stream that is on time, in milliseconds; zero if
 *     not limited
 */
public record Demand(long promptTokens, long outputTokens, double targetLatencyMillis, double maximumInterTokenMillis) {

    /** Limit in milliseconds below which a stream is delayed by the prefill of a long prompt on its engine. */
    private static final double STRICT_INTER_TOKEN_MILLIS = 400;

    /**
     * Indicates whether the request is a generation of a model engine.
     *
     * @return {@code true} if the request has a prompt
     */
    public boolean isGeneration() {
        return promptTokens > 0;
    }

    /**
     * Indicates whether the limit on the inter-token latency is so strict that the prefill of a long prompt on the same
     * engine may exceed it.
     *
     * @return {@code true} for a generation with a limit below 400 milliseconds
     */
    public boolean hasStrictInterTokenLatency() {
        return isGeneration() && maximumInterTokenMillis > 0 && maximumInterTokenMillis < STRICT_INTER_TOKEN_MILLIS;
    }

    /**
     * Returns the KV cache that the request occupies when it is complete.
     *
     * @return the sum of prompt and output tokens
     */
    public long memoryTokens() {
        return promptTokens + outputTokens;
    }
}
