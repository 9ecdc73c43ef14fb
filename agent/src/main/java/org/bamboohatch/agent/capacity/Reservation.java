package org.bamboohatch.agent.capacity;

/**
 * What one attempt holds of a target.
 *
 * @param memoryTokens KV memory, in tokens
 * @param promptTokens length of the prompt, in tokens
 * @param priority priority, zero is the most urgent
 * @param awaitingFirstToken whether the prompt is not processed yet
 */
public record Reservation(long memoryTokens, long promptTokens, int priority, boolean awaitingFirstToken) {

    /**
     * Returns a copy whose prompt is processed.
     *
     * @return the copy
     */
    Reservation withFirstToken() {
        return new Reservation(memoryTokens, promptTokens, priority, false);
    }
}
