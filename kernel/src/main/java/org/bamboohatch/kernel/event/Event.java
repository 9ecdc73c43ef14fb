package org.bamboohatch.kernel.event;

/**
 * One event of a timeline.
 *
 * @param time hybrid timestamp in packed form, see {@link HybridTime#pack()}
 * @param process name of the process that recorded the event
 * @param subject request, service or target that the event is about
 * @param kind short name of what happened
 * @param detail further text, may be empty
 */
public record Event(long time, String process, String subject, String kind, String detail) {}
