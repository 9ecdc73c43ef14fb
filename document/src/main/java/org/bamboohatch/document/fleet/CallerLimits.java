package org.bamboohatch.document.fleet;

/**
 * What callers may send and how long they may take.
 *
 * @param maximumHeaderBytes largest head of a request, in bytes
 * @param maximumBodyBytes largest body, in bytes
 * @param headerTimeoutMillis longest time in which a head arrives, in milliseconds
 * @param idleTimeoutMillis longest time for which a connection stays idle, in milliseconds
 */
public record CallerLimits(
        int maximumHeaderBytes, long maximumBodyBytes, long headerTimeoutMillis, long idleTimeoutMillis) {

    /** Limits in force before a configuration names any. */
    public static final CallerLimits DEFAULT = new CallerLimits(16 * 1024, 4 * 1024 * 1024, 3_000, 15_000);
}
