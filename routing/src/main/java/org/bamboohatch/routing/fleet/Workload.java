package org.bamboohatch.routing.fleet;

/**
 * Work at a target, as far as it is known to gateways.
 *
 * @param runs number of requests that were sent and have not ended
 * @param decodingSequences number of these requests that are being decoded
 * @param strictRuns number of these requests with a strict limit on the inter-token latency
 * @param contextTokens prompt tokens of the decoding sequences
 * @param prefillMillis time that the target still needs to prefill prompts, in milliseconds
 * @param reservedTokens KV cache that the requests need, in tokens
 */
public record Workload(
        int runs,
        int decodingSequences,
        int strictRuns,
        double contextTokens,
        double prefillMillis,
        double reservedTokens) {

    /** A workload without any requests. */
    public static final Workload NONE = new Workload(0, 0, 0, 0, 0, 0);

    /**
     * Adds other work at the same target.
     *
     * @param other the work to add
     * @return the sum
     */
    public Workload plus(Workload other) {
        return new Workload(
                runs + other.runs,
                decodingSequences + other.decodingSequences,
                strictRuns + other.strictRuns,
                contextTokens + other.contextTokens,
                prefillMillis + other.prefillMillis,
                reservedTokens + other.reservedTokens);
    }

    /**
     * Replaces the remaining prefill time.
     *
     * @param millis time that the target still needs to prefill prompts, in milliseconds
     * @return a copy with the given prefill time
     */
    public Workload withPrefillMillis(double millis) {
        return new Workload(runs, decodingSequences, strictRuns, contextTokens, millis, reservedTokens);
    }
}
