package org.bamboohatch.kernel.id;

/**
 * One incarnation of a target, from its start to its end.
 *
 * @param target name of the target
 * @param number number of the incarnation, which changes when the target restarts
 */
public record TargetIncarnation(TargetName target, long number) {}
