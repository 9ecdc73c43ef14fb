package org.bamboohatch.routing.fleet;

import java.util.List;

import org.bamboohatch.kernel.id.TargetName;

/**
 * Where a request is sent.
 *
 * @param target the target that answers
 * @param helpers engines that read a part of the prompt, empty if the target reads all of it; those that also hold a
 *     part of its memory come first, in the order of the holdings
 * @param holdings memory that must be set aside at helpers before the request is sent, empty if the target holds all
 * @param firstMillis predicted time until the first event, in milliseconds
 */
public record Placement(TargetName target, List<TargetName> helpers, List<Holding> holdings, double firstMillis) {

    /** Makes the lists immutable. */
    public Placement {
        helpers = List.copyOf(helpers);
        holdings = List.copyOf(holdings);
    }

    /**
     * Memory for a part of a prompt.
     *
     * @param holder the engine that holds it
     * @param tokens size of the part, in tokens
     */
    public record Holding(TargetName holder, long tokens) {}

    /**
     * Places a request at one target.
     *
     * @param target the target
     * @param firstMillis predicted time until the first event, in milliseconds
     * @return the placement
     */
    static Placement alone(TargetName target, double firstMillis) {
        return new Placement(target, List.of(), List.of(), firstMillis);
    }

    /**
     * Tells how much memory the answering target needs for the request.
     *
     * @param demand what the request asks
     * @return the memory in tokens
     */
    public long ownTokens(Demand demand) {
        return demand.memoryTokens()
                - holdings.stream().mapToLong(Holding::tokens).sum();
    }
}
