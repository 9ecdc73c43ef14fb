package org.bamboohatch.routing.fleet;

/**
 * What a request asks of a target.
 *
 * @param promptTokens size of the prompt, zero for a request of a plain service
 * @param answerTokens expected size of the answer, in tokens
 * @param targetLatencyMillis time in which an answer, or the first event of one, is of full value, in milliseconds
 * @param maximumGapMillis longest pause between two events of a timely stream, in milliseconds, zero if not limited
 */
public record Demand(long promptTokens, long answerTokens, double targetLatencyMillis, double maximumGapMillis) {

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
    public boolean isTight() {
        return isGeneration() && maximumGapMillis > 0 && maximumGapMillis < TIGHT_GAP_MILLIS;
    }

    /**
     * Returns the memory that the request needs at its end.
     *
     * @return the memory in tokens
     */
    public long memoryTokens() {
        return promptTokens + answerTokens;
    }
}
