package org.bamboohatch.routing;

import org.bamboohatch.kernel.id.AccountName;
import org.bamboohatch.kernel.id.RequestId;

/**
 * A request that waits in the queue of an entry.
 *
 * @param id identifier of the request
 * @param account the client account
 * @param weight share of the account relative to other accounts
 * @param lengthClass length class of the prompt
 * @param promptTokens length of the prompt, in tokens
 * @param outputTokens maximum length of the output, in tokens
 * @param arrivedAt time of arrival, in milliseconds
 * @param deadline time by which the response must be complete, in milliseconds
 */
public record WaitingRequest(
        RequestId id,
        AccountName account,
        double weight,
        LengthClass lengthClass,
        long promptTokens,
        long outputTokens,
        long arrivedAt,
        long deadline) {

    /**
     * Returns the KV cache that the request needs at an engine.
     *
     * @return the sum of prompt and output tokens
     */
    public long memoryTokens() {
        return promptTokens + outputTokens;
    }

    /**
     * Returns the tokens that are charged to the account.
     *
     * @return the sum of prompt and output tokens, divided by the weight of the account
     */
    public double weightedTokens() {
        return (promptTokens + outputTokens) / weight;
    }
}
