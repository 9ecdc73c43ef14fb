package org.bamboohatch.document.fleet;

/**
 * Limits on the requests and connections of callers.
 *
 * @param maximumHeaderBytes maximum size of a request head, in bytes
 * @param maximumBodyBytes maximum size of a request body, in bytes
 * @param headerTimeoutMillis time within which a request head must arrive, in milliseconds
 * @param idleTimeoutMillis time after which a connection that is idle or awaits body data is closed, in
 *     milliseconds
 */
public record CallerLimits(
        int maximumHeaderBytes, long maximumBodyBytes, long headerTimeoutMillis, long idleTimeoutMillis) {

    /** Limits that apply unless a configuration specifies others. */
    public static final CallerLimits DEFAULT = new CallerLimits(16 * 1024, 4 * 1024 * 1024, 3_000, 15_000);
}
