package org.bamboohatch.routing.fleet;

import java.util.List;

import org.bamboohatch.kernel.id.TargetName;

/**
 * The targets selected for a request.
 *
 * @param target the target that responds to the request
 * @param prefillHelpers engines that prefill a part of the prompt, empty if the target prefills all of it; those with
 *     an allocation come first, in the order of the allocations
 * @param allocations KV cache to reserve at helpers before the request is sent, empty if the target holds all of it
 * @param timeToFirstTokenMillis predicted time to first token, in milliseconds; zero if it was not predicted
 */
public record Placement(
        TargetName target,
        List<TargetName> prefillHelpers,
        List<Allocation> allocations,
        double timeToFirstTokenMillis) {

    /** Copies the lists to keep the record immutable. */
    public Placement {
        prefillHelpers = List.copyOf(prefillHelpers);
        allocations = List.copyOf(allocations);
    }

    /**
     * KV cache that an engine reserves for a part of a prompt.
     *
     * @param engine the engine that holds the part
     * @param tokens size of the part, in tokens
     */
    public record Allocation(TargetName engine, long tokens) {}

    /**
     * Creates a placement at a target without helpers.
     *
     * @param target the target that responds to the request
     * @param timeToFirstTokenMillis predicted time to first token, in milliseconds
     */
    static Placement onSingleTarget(TargetName target, double timeToFirstTokenMillis) {
        return new Placement(target, List.of(), List.of(), timeToFirstTokenMillis);
    }

    /**
     * Returns the KV cache that the request needs at the responding target, which is what the allocations do not cover.
     *
     * @param demand requirements of the request
     * @return the memory, in tokens
     */
    public long targetMemoryTokens(Demand demand) {
        return demand.memoryTokens()
                - allocations.stream().mapToLong(Allocation::tokens).sum();
    }
}
