package org.bamboohatch.gateway.target;

import java.util.Iterator;
import java.util.Map;

import io.netty.handler.codec.http.HttpHeaders;
import org.bamboohatch.gateway.buffer.BufferBudget;

/**
 * Memory of the head of the response on one connection. A head with many short fields takes up a multiple of its size on the
 * wire, from the moment that its parts are decoded until the response has ended.
 */
final class HeadMemory {

    /** Memory of the objects of a field, besides its characters, in bytes. */
    private static final int FIELD_BYTES = 144;

    /** Size of the shortest field: a name of one character, a colon and the end of the line, in bytes. */
    private static final int SHORTEST_FIELD_BYTES = 4;

    /** Memory that an incomplete head takes up for each of its bytes, if all fields are as short as possible. */
    private static final int BYTES_FOR_BYTE = FIELD_BYTES / SHORTEST_FIELD_BYTES + 1;

    private final BufferBudget.Holder held;

    /** Number of bytes of the incomplete head, or of those that were read together with its beginning. */
    private long incompleteBytes;

    /** Whether a message was decoded from the bytes that were read last. */
    private boolean decoded;

    /**
     * Creates an account of no memory.
     *
     * @param held the holder of the memory
     */
    HeadMemory(BufferBudget.Holder held) {
        this.held = held;
    }

    /**
     * Accounts for bytes that were read before the head was complete, and have been decoded as far as possible.
     *
     * @param bytes number of bytes
     */
    void recordRead(int bytes) {
        incompleteBytes = decoded ? bytes : incompleteBytes + bytes;
        decoded = false;
        held.set(incompleteBytes * BYTES_FOR_BYTE);
    }

    /** Records that the head of an interim response or of one to another request was decoded, or a part of its body. */
    void recordUnrelatedMessage() {
        decoded = true;
    }

    /**
     * Accounts for a complete head.
     *
     * @param headers the fields of the head
     */
    void recordHead(HttpHeaders headers) {
        long bytes = 0;
        Iterator<Map.Entry<CharSequence, CharSequence>> fields = headers.iteratorCharSequence();
        while (fields.hasNext()) {
            Map.Entry<CharSequence, CharSequence> field = fields.next();
            bytes += FIELD_BYTES + field.getKey().length() + field.getValue().length();
        }
        held.set(bytes);
    }

    boolean exceedsShare() {
        return held.exceedsShare();
    }

    /** Gives back the memory at the end of the response. */
    void release() {
        incompleteBytes = 0;
        decoded = false;
        held.release();
    }
}
