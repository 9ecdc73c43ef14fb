package org.bamboohatch.gateway.target;

import org.bamboohatch.kernel.id.TargetName;

/**
 * Where one start of a target is reached; another start at the same address is another target.
 *
 * @param target name of the target
 * @param incarnation number of its start
 * @param address address, as IP:port
 */
public record TargetAddress(TargetName target, long incarnation, String address) {}
