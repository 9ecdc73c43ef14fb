package org.bamboohatch.agent.capacity;

/**
 * Capacity of a target that is reserved for an attempt.
 *
 * @param memoryTokens reserved KV memory, in tokens
 * @param promptTokens length of the prompt, in tokens
 * @param priority priority of the request, where zero is the most urgent
 * @param awaitingFirstToken whether the prefill of the prompt has not ended yet
 */
public record Reservation(long memoryTokens, long promptTokens, int priority, boolean awaitingFirstToken) {

    Reservation withFirstToken() {
        return new Reservation(memoryTokens, promptTokens, priority, false);
    }
}
