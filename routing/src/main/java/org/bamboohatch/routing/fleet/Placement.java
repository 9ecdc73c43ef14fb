package org.bamboohatch.routing.fleet;

import java.util.List;

import org.bamboohatch.kernel.id.TargetName;

/**
 * Where a request is sent.
 *
 * @param target the target that answers
 * @param helpers engines that read a part of the prompt, empty if the target reads all of it
 * @param firstMillis predicted time until the first event, in milliseconds
 */
public record Placement(TargetName target, List<TargetName> helpers, double firstMillis) {

    /** Makes the list immutable. */
    public Placement {
        helpers = List.copyOf(helpers);
    }
}
