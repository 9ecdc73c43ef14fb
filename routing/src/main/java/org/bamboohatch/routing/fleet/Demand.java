package org.bamboohatch.routing.fleet;

/**
 * What a request asks of a target.
 *
 * @param promptTokens size of the prompt, zero for a request of a plain service
 * @param outputTokens expected size of the answer, in tokens
 * @param targetLatencyMillis time in which an answer, or the first event of one, is of full value, in milliseconds
 * @param maximumInterTokenMillis longest pause between two events of a timely stream, in milliseconds, zero if not limited
 */
public record Demand(long promptTokens, long outputTokens, double targetLatencyMillis, double maximumInterTokenMillis) {

    /** Pause below which a stream is disturbed by an engine that reads a long prompt, in milliseconds. */
    private static final double TIGHT_GAP_MILLIS = 400;

    /**
     * Tells whether the request is a generation of a model engine.
     *
     * @return whether it has a prompt
     */
    public boolean isGeneration() {
        return promptTokens > 0;
    }

    /**
     * Tells whether pauses of the answer must be so short that an engine which reads a long prompt disturbs it.
     *
     * @return whether they must
     */
    public boolean hasStrictInterTokenLatency() {
        return isGeneration() && maximumInterTokenMillis > 0 && maximumInterTokenMillis < TIGHT_GAP_MILLIS;
    }

    /**
     * Returns the memory that the request needs at its end.
     *
     * @return the memory in tokens
     */
    public long memoryTokens() {
        return promptTokens + outputTokens;
    }
}
