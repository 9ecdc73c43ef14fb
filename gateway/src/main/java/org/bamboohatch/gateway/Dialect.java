package org.bamboohatch.gateway;

/**
 * Names of the HTTP header fields that a gateway, its callers and its targets exchange.
 *
 * @param requestId id of one attempt of a caller; the target's answer repeats it
 * @param timeout time that the caller still waits, in milliseconds
 * @param apiKey the caller's key
 * @param clientAccount name of the client account, set for the target
 * @param expectedTarget name of the only target that may run the request
 * @param notExecuted present in answers of targets that did not run the request
 * @param seal the target's signature of its answer
 * @param tokenCounts sizes of a generation: prompt tokens and the most answer tokens, separated by a comma
 * @param outputTokensHint the caller's estimate of the answer's size, in tokens
 * @param priority rank at the target's queue, zero for the most urgent
 * @param prefillHelpers addresses of the engines that read a part of the prompt, separated by commas
 * @param lastEventId id of the last event that the caller has; a stream goes on after it
 * @param failedTarget address of the engine that an engine depended on in vain, in its refusal
 * @param memory orders that set memory of an engine aside
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
        String outputTokensHint,
        String priority,
        String prefillHelpers,
        String lastEventId,
        String failedTarget,
        MemoryDialect memory) {

    /** The names that an installation of its own uses. */
    public static final Dialect DEFAULT = new Dialect(
            "Request-Id",
            "Request-Timeout-Ms",
            "Api-Key",
            "Client-Account",
            "Expected-Target",
            "Not-Executed",
            "Answer-Seal",
            "Token-Counts",
            "Answer-Tokens-Hint",
            "Request-Priority",
            "Reading-Helpers",
            "Last-Event-ID",
            "Faulty-Target",
            MemoryDialect.Default.INSTANCE);
}
