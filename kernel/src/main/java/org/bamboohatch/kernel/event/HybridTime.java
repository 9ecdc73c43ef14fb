package org.bamboohatch.kernel.event;

/**
 * A hybrid logical time: wall time joined with a counter so that causes sort before effects.
 *
 * @param millis wall time in milliseconds since the epoch, never behind any time heard of
 * @param counter orders times of the same millisecond
 */
public record HybridTime(long millis, int counter) implements Comparable<HybridTime> {

    /** Bits of the counter in the packed form. */
    private static final int COUNTER_BITS = 16;

    /** Largest counter in the packed form. */
    private static final int MAX_COUNTER = (1 << COUNTER_BITS) - 1;

    /** The beginning of time. */
    public static final HybridTime ZERO = new HybridTime(0, 0);

    /**
     * Restores a time from its packed form.
     *
     * @param packed the packed form
     * @return the time
     */
    public static HybridTime unpack(long packed) {
        return new HybridTime(packed >>> COUNTER_BITS, (int) (packed & MAX_COUNTER));
    }

    /**
     * Packs the time in one number that sorts in the same way.
     *
     * @return the packed form
     */
    public long pack() {
        return millis << COUNTER_BITS | counter;
    }

    /**
     * Returns the next time after this one.
     *
     * @param wallMillis the wall time in milliseconds
     * @return a time after this one and not before the wall time
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
