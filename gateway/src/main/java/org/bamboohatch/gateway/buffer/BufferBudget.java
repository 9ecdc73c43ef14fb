package org.bamboohatch.gateway.buffer;

/**
 * Memory that the requests of a gateway share for their buffers; confined to the callers' event loop. Nobody may let its
 * buffers grow beyond a share of what is free. The fuller the buffers are, the less that is, so the largest holders are the
 * first that must stop, while small ones find room until the buffers are nearly full. What a holder does then is its own
 * decision; since it sees the excess after a read, the buffers may exceed the capacity by that much for each holder.
 */
public final class BufferBudget {

    /** Size up to which a holder never yields, in bytes: more than most requests and responses need. */
    private static final long SMALL_HOLDER_BYTES = 16 * 1024;

    private final long capacityBytes;

    /** Part of the free memory that a single holder may hold. */
    private final double share;

    private long heldBytes;

    /**
     * Creates a budget of which nothing is held.
     *
     * @param capacityBytes size of all buffers together, in bytes
     * @param share part of the free memory that a single holder may hold, greater than 0 and at most 1
     */
    public BufferBudget(long capacityBytes, double share) {
        this.capacityBytes = capacityBytes;
        this.share = share;
    }

    /**
     * Returns what all holders hold together.
     *
     * @return the size in bytes
     */
    public long heldBytes() {
        return heldBytes;
    }

    /**
     * Registers a holder.
     *
     * @return a holder of no bytes, which must be {@linkplain Holder#release() released} at the end
     */
    public Holder open() {
        return new Holder();
    }

    /** The buffers of one request or connection. */
    public final class Holder {

        private long bytes;

        private Holder() {}

        /**
         * Updates the size of the buffers.
         *
         * @param newBytes size in bytes
         */
        public void set(long newBytes) {
            heldBytes += newBytes - bytes;
            bytes = newBytes;
        }

        /**
         * Changes the size of the buffers.
         *
         * @param change difference to the present size in bytes, negative if the buffers shrink
         */
        public void add(long change) {
            set(bytes + change);
        }

        /** Gives back everything that is held. */
        public void release() {
            set(0);
        }

        /**
         * Indicates whether nothing is held.
         *
         * @return whether the size of the buffers is zero
         */
        public boolean isEmpty() {
            return bytes == 0;
        }

        /**
         * Indicates whether the buffers are larger than their share, so that they must not grow.
         *
         * @return whether they are not small, and larger than the share of what is free
         */
        public boolean exceedsShare() {
            return bytes > Math.max(SMALL_HOLDER_BYTES, (capacityBytes - heldBytes) * share);
        }
    }
}
