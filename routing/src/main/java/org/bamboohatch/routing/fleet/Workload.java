package org.bamboohatch.routing.fleet;

/**
 * Work at a target, as far as gateways know of it.
 *
 * @param runs requests that were sent and have not ended
 * @param decodingSequences requests among them that write their answer
 * @param strictRuns decodingSequences among them whose pauses must be short
 * @param contextTokens prompt tokens of the decodingSequences
 * @param prefillMillis time that the target still needs to read prompts, in milliseconds
 * @param reservedTokens memory that the requests need, in tokens
 */
public record Workload(
        int runs,
        int decodingSequences,
        int strictRuns,
        double contextTokens,
        double prefillMillis,
        double reservedTokens) {

    /** No work. */
    public static final Workload NONE = new Workload(0, 0, 0, 0, 0, 0);

    /**
     * Adds other work at the same target.
     *
     * @param other the other work
     * @return both together
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
     * Sets what is left to read.
     *
     * @param millis time that the target still needs to read prompts, in milliseconds
     * @return the work with it
     */
    public Workload withPrefillMillis(double millis) {
        return new Workload(runs, decodingSequences, strictRuns, contextTokens, millis, reservedTokens);
    }
}
