package org.bamboohatch.routing.fleet;

/**
 * Work at a target, as far as gateways know of it.
 *
 * @param runs requests that were sent and have not ended
 * @param writers requests among them that write their answer
 * @param shortWriters writers among them whose pauses must be short
 * @param contextTokens prompt tokens of the writers
 * @param readMillis time that the target still needs to read prompts, in milliseconds
 * @param heldTokens memory that the requests need, in tokens
 */
public record Workload(
        int runs, int writers, int shortWriters, double contextTokens, double readMillis, double heldTokens) {

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
                writers + other.writers,
                shortWriters + other.shortWriters,
                contextTokens + other.contextTokens,
                readMillis + other.readMillis,
                heldTokens + other.heldTokens);
    }

    /**
     * Sets what is left to read.
     *
     * @param millis time that the target still needs to read prompts, in milliseconds
     * @return the work with it
     */
    public Workload reading(double millis) {
        return new Workload(runs, writers, shortWriters, contextTokens, millis, heldTokens);
    }
}
