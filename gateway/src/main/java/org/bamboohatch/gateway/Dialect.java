package org.bamboohatch.gateway;

/**
 * Names of the HTTP header fields that a gateway, its callers and its targets exchange.
 *
 * @param requestId id of one attempt of a caller; repeated in the response of the target
 * @param timeout time that remains until the deadline of the request, in milliseconds
 * @param apiKey key of the caller
 * @param clientAccount name of the client account; sent to targets
 * @param expectedTarget name of the only target that may run the request
 * @param notExecuted present in responses of targets that did not run the request
 * @param seal signature of a response by the target
 * @param tokenCounts size of a generation: number of prompt tokens and maximum number of output tokens, separated by a
 *     comma
 * @param promptParts parts of the prompt of a generation, in order and separated by commas; each is an id, a colon and a
 *     number of tokens. Requests may share parts, except for the last one
 * @param outputTokensHint estimate by the caller of the number of output tokens
 * @param priority priority in the queue of the target; lower values come first, zero is the most urgent
 * @param prefillHelpers engines that prefill a part of the prompt, separated by commas; each is an address, or the name
 *     that {@link MemoryDialect#formatHelper(String, String)} returns if memory is reserved there
 * @param lastEventId id of the last event that was received; a resumed stream continues after it
 * @param failedTarget address of the engine whose failure made another engine refuse a request; sent in the refusal
 * @param leaving present in responses of targets that are about to end
 * @param rateLimit number of requests a second, possibly with a fraction, that the target takes from all gateways together;
 *     sent in each response for as long as the limit holds
 * @param cold time for which the target is still cold, in milliseconds; zero if it is cold no longer
 * @param memory format of the commands that reserve memory of engines
 */
public record Dialect(
        String requestId,
        String timeout,
        String apiKey,
        String clientAccount,
        String expectedTarget,
        String notExecuted,
        String seal,
        String tokenCounts,
        String promptParts,
        String outputTokensHint,
        String priority,
        String prefillHelpers,
        String lastEventId,
        String failedTarget,
        String leaving,
        String rateLimit,
        String cold,
        MemoryDialect memory) {

    /** The names in a standalone installation. */
    public static final Dialect DEFAULT = new Dialect(
            "Request-Id",
            "Request-Timeout-Ms",
            "Api-Key",
            "Client-Account",
            "Expected-Target",
            "Not-Executed",
            "Answer-Seal",
            "Token-Counts",
            "Prompt-Parts",
            "Answer-Tokens-Hint",
            "Request-Priority",
            "Reading-Helpers",
            "Last-Event-ID",
            "Faulty-Target",
            "Target-Leaving",
            "Target-Limit",
            "Target-Cold-Ms",
            MemoryDialect.Default.INSTANCE);
}
