package org.bamboohatch.gateway;

/**
 * Both clocks of a host at one moment. The monotonic clock stands still while the host is suspended, the time of day
 * may be set, so neither alone tells an age.
 *
 * @param monotonic reading of the monotonic clock, in milliseconds
 * @param wall time of day, in Unix milliseconds
 */
public record GatewayClock(long monotonic, long wall) {

    /** Nanoseconds in a millisecond. */
    private static final long NANOS_PER_MILLI = 1_000_000;

    /**
     * Reads both clocks.
     *
     * @return the present moment
     */
    public static GatewayClock read() {
        return new GatewayClock(now(), System.currentTimeMillis());
    }

    /**
     * Reads the monotonic clock.
     *
     * @return the present time in milliseconds
     */
    public static long now() {
        return System.nanoTime() / NANOS_PER_MILLI;
    }

    /**
     * Tells how long ago an earlier moment was at most, as far as either clock knows.
     *
     * @param earlier the earlier moment
     * @return the age in milliseconds
     */
    public long millisSince(GatewayClock earlier) {
        return Math.max(monotonic - earlier.monotonic, wall - earlier.wall);
    }
}
