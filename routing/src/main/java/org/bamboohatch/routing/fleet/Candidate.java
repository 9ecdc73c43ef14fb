package org.bamboohatch.routing.fleet;

import org.bamboohatch.kernel.id.TargetName;

/**
 * A target that a request could be sent to.
 *
 * @param name name of the target
 * @param sameZone whether the target is in the availability zone of the gateway
 * @param slots number of requests that the target processes concurrently
 * @param load current work at the target
 * @param selectionBias number from zero to one that makes the target less preferred; differs between gateways, so that
 *     they do not all select the same target
 * @param slowdownFactor ratio of the actual to the expected processing time, one for a target at its normal speed
 */
public record Candidate(
        TargetName name, boolean sameZone, int slots, Workload load, double selectionBias, double slowdownFactor) {}
