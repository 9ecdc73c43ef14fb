package org.bamboohatch.kernel.event;

/**
 * Timestamp of a hybrid logical clock: wall time combined with a counter, so that causes are ordered before their
 * effects.
 *
 * @param millis wall time in milliseconds since the epoch, not before any timestamp that the clock has observed
 * @param counter order of timestamps of the same millisecond
 */
public record HybridTime(long millis, int counter) implements Comparable<HybridTime> {

    /** Number of low-order bits that hold the counter in the packed form. */
    private static final int COUNTER_BITS = 16;

    private static final int MAX_COUNTER = (1 << COUNTER_BITS) - 1;

    /** Timestamp that is not after any other timestamp. */
    public static final HybridTime ZERO = new HybridTime(0, 0);

    /**
     * Restores a timestamp from its packed form.
     *
     * @param packed timestamp in packed form
     */
    public static HybridTime unpack(long packed) {
        return new HybridTime(packed >>> COUNTER_BITS, (int) (packed & MAX_COUNTER));
    }

    /**
     * Encodes the timestamp as a number. Packed timestamps have the same order as the timestamps themselves.
     *
     * @return the wall time in the upper bits and the counter in the lower bits
     */
    public long pack() {
        return millis << COUNTER_BITS | counter;
    }

    /**
     * Returns the timestamp that follows this one. If the counter is exhausted, the timestamp advances to the next
     * millisecond, ahead of the wall time.
     *
     * @param wallMillis current wall time, in milliseconds since the epoch
     * @return a timestamp after this one and not before the wall time
     */
    public HybridTime next(long wallMillis) {
        if (wallMillis > millis) {
            return new HybridTime(wallMillis, 0);
        }
        return counter < MAX_COUNTER ? new HybridTime(millis, counter + 1) : new HybridTime(millis + 1, 0);
    }

    @Override
    public int compareTo(HybridTime other) {
        return Long.compare(pack(), other.pack());
    }
}
