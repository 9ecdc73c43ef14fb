package org.bamboohatch.routing.fleet;

import java.util.List;

import org.bamboohatch.kernel.id.TargetName;

/**
 * Where a request is sent.
 *
 * @param target the target that answers
 * @param prefillHelpers engines that read a part of the prompt, empty if the target reads all of it; those that also hold a
 *     part of its memory come first, in the order of the allocations
 * @param allocations memory that must be set aside at prefillHelpers before the request is sent, empty if the target holds all
 * @param timeToFirstTokenMillis predicted time until the first event, in milliseconds
 */
public record Placement(
        TargetName target,
        List<TargetName> prefillHelpers,
        List<Allocation> allocations,
        double timeToFirstTokenMillis) {

    /** Makes the lists immutable. */
    public Placement {
        prefillHelpers = List.copyOf(prefillHelpers);
        allocations = List.copyOf(allocations);
    }

    /**
     * Memory for a part of a prompt.
     *
     * @param engine the engine that holds it
     * @param tokens size of the part, in tokens
     */
    public record Allocation(TargetName engine, long tokens) {}

    /**
     * Places a request at one target.
     *
     * @param target the target
     * @param timeToFirstTokenMillis predicted time until the first event, in milliseconds
     * @return the placement
     */
    static Placement onSingleTarget(TargetName target, double timeToFirstTokenMillis) {
        return new Placement(target, List.of(), List.of(), timeToFirstTokenMillis);
    }

    /**
     * Tells how much memory the answering target needs for the request.
     *
     * @param demand what the request asks
     * @return the memory in tokens
     */
    public long targetMemoryTokens(Demand demand) {
        return demand.memoryTokens()
                - allocations.stream().mapToLong(Allocation::tokens).sum();
    }
}
