package org.bamboohatch.routing;

import org.bamboohatch.kernel.id.AccountName;
import org.bamboohatch.kernel.id.RequestId;

/**
 * A request that waits for a target.
 *
 * @param id the request
 * @param account the client account
 * @param weight the account's share relative to the other accounts
 * @param lengthClass class of the prompt
 * @param promptTokens length of the prompt, in tokens
 * @param outputTokens longest answer, in tokens
 * @param arrivedAt time of arrival, in milliseconds
 * @param deadline time by which the answer must be whole, in milliseconds
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
     * Returns the memory that the request needs at an engine.
     *
     * @return tokens of prompt and answer
     */
    public long memoryTokens() {
        return promptTokens + outputTokens;
    }

    /**
     * Returns the tokens that count against the account's share.
     *
     * @return tokens of prompt and answer divided by the account's weight
     */
    public double weightedTokens() {
        return (promptTokens + outputTokens) / weight;
    }
}
