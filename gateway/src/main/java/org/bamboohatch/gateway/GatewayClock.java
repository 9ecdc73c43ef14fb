package org.bamboohatch.gateway;

/**
 * A reading of both clocks of a host. The monotonic clock stops while the host is suspended and the time of day can be
 * set, so neither of them is sufficient to determine an age.
 *
 * @param monotonic reading of the monotonic clock, in milliseconds
 * @param wall time of day, in Unix milliseconds
 */
public record GatewayClock(long monotonic, long wall) {

    private static final long NANOS_PER_MILLI = 1_000_000;

    /**
     * Returns the current reading of both clocks.
     *
     * @return the reading
     */
    public static GatewayClock read() {
        return new GatewayClock(now(), System.currentTimeMillis());
    }

    /**
     * Returns the current reading of the monotonic clock.
     *
     * @return the time in milliseconds; comparable to readings of the same process only
     */
    public static long now() {
        return System.nanoTime() / NANOS_PER_MILLI;
    }

    /**
     * Returns the time since an earlier reading: the longer of the times that the two clocks have measured.
     *
     * @param earlier reading of the same process
     * @return the time in milliseconds
     */
    public long millisSince(GatewayClock earlier) {
        return Math.max(monotonic - earlier.monotonic, wall - earlier.wall);
    }
}
