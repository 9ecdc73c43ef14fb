package org.bamboohatch.gateway.buffer;

/**
 * The buffers of a gateway.
 *
 * @param responses responses that are incomplete, or that callers have not read yet
 */
public record GatewayBuffers(BufferBudget responses) {

    /** Part of the heap that responses may take. */
    private static final double RESPONSES_OF_HEAP = 0.25;

    /** Part of the free memory that one response may take. */
    private static final double SHARE_OF_RESPONSE = 0.125;

    /**
     * Creates empty buffers.
     *
     * @param heapBytes maximum size of the heap, in bytes
     * @return buffers that leave most of the heap to everything else
     */
    public static GatewayBuffers ofHeap(long heapBytes) {
        return new GatewayBuffers(new BufferBudget((long) (heapBytes * RESPONSES_OF_HEAP), SHARE_OF_RESPONSE));
    }
}
