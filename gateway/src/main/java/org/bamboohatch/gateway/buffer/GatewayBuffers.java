package org.bamboohatch.gateway.buffer;

/**
 * The buffers of a gateway.
 *
 * @param requests bodies of requests, from their arrival until the end of the response
 * @param responses responses that are incomplete, or that callers have not read yet
 */
public record GatewayBuffers(BufferBudget requests, BufferBudget responses) {

    /** Part of the heap that request bodies may take. */
    private static final double REQUESTS_OF_HEAP = 0.3;

    /** Part of the free memory that one request body may take; the rest stays free for small ones. */
    private static final double SHARE_OF_REQUEST = 0.5;

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
        return new GatewayBuffers(
                new BufferBudget((long) (heapBytes * REQUESTS_OF_HEAP), SHARE_OF_REQUEST),
                new BufferBudget((long) (heapBytes * RESPONSES_OF_HEAP), SHARE_OF_RESPONSE));
    }
}
