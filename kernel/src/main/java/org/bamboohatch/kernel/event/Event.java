package org.bamboohatch.kernel.event;

/**
 * One event of the time line.
 *
 * @param time the packed hybrid time
 * @param process name of the process
 * @param subject the request, service or target that the event is about
 * @param kind short name of what happened
 * @param detail further text
 */
public record Event(long time, String process, String subject, String kind, String detail) {}
