package org.bamboohatch.routing.fleet;

import org.bamboohatch.kernel.id.TargetName;

/**
 * A target that a request could be sent to.
 *
 * @param name name of the target
 * @param sameZone whether the target is in the gateway's availability zone
 * @param slots requests that the target works on at the same time
 * @param load work at the target
 * @param selectionBias number from zero to one that differs between gateways, so that they do not all choose the same target
 * @param slowdownFactor time that its work takes in relation to what is expected, one for a sound target
 */
public record Candidate(
        TargetName name, boolean sameZone, int slots, Workload load, double selectionBias, double slowdownFactor) {}
