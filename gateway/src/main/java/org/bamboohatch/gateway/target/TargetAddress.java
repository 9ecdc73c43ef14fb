package org.bamboohatch.gateway.target;

import org.bamboohatch.kernel.id.TargetIncarnation;
import org.bamboohatch.kernel.id.TargetName;

/**
 * Address of one incarnation of a target. A target that restarts at the same network address is not equal to the former.
 *
 * @param target name of the target
 * @param incarnation number of the incarnation, which changes when the target restarts
 * @param address network address, as IP:port
 */
public record TargetAddress(TargetName target, long incarnation, String address) {

    /**
     * Returns the incarnation at this address.
     *
     * @return name and number of the incarnation
     */
    public TargetIncarnation toIncarnation() {
        return new TargetIncarnation(target, incarnation);
    }
}
