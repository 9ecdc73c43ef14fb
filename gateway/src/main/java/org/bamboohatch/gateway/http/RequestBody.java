package org.bamboohatch.gateway.http;

import java.io.ByteArrayOutputStream;
import java.time.Duration;

import io.netty.buffer.ByteBuf;
import org.bamboohatch.gateway.buffer.BufferBudget;
import org.bamboohatch.kernel.outcome.ErrorCode;
import org.bamboohatch.kernel.outcome.Refusal;

/** Body of a request, which is kept until the response has ended, because the request may have to be sent again. */
final class RequestBody {

    /** Memory that a body of unknown length takes up for each of its bytes while it arrives, because its buffer doubles. */
    private static final long BYTES_FOR_BYTE = 2;

    /** Retry delay for callers whose body does not fit into the buffers: the time of a typical response. */
    private static final Duration NO_ROOM_RETRY_DELAY = Duration.ofMillis(500);

    private final BufferBudget.Holder held;

    private final long declaredBytes;

    private final ByteArrayOutputStream received = new ByteArrayOutputStream();

    private boolean fits;

    /**
     * Creates an empty body.
     *
     * @param held accounts for the memory of the body
     * @param declaredBytes length that the head of the request declares, in bytes; zero if it declares none
     */
    RequestBody(BufferBudget.Holder held, long declaredBytes) {
        this.held = held;
        this.declaredBytes = declaredBytes;
        account(declaredBytes);
    }

    /**
     * Returns the refusal of a request whose body does not fit.
     *
     * @return a refusal that states that the request was not run
     */
    static Refusal noRoom() {
        return Refusal.notRun(ErrorCode.OVERLOADED, "The gateway has no room for the request body.")
                .withRetryAfter(NO_ROOM_RETRY_DELAY);
    }

    private void account(long bytes) {
        held.set(bytes);
        fits = !held.exceedsShare();
    }

    /**
     * Indicates whether there was room for the body when it last grew. One with a declared length takes up all of it at once.
     *
     * @return whether it took up no more than its share then
     */
    boolean fits() {
        return fits;
    }

    /**
     * Returns the size of the part that has arrived.
     *
     * @return the size in bytes
     */
    long size() {
        return received.size();
    }

    /**
     * Appends a part.
     *
     * @param part the part; its bytes are consumed
     */
    void append(ByteBuf part) {
        byte[] bytes = new byte[part.readableBytes()];
        part.readBytes(bytes);
        received.writeBytes(bytes);
        if (declaredBytes == 0) {
            account(BYTES_FOR_BYTE * size());
        }
    }

    /**
     * Returns the complete body.
     *
     * @return the bytes of the body
     */
    byte[] complete() {
        byte[] bytes = received.toByteArray();
        held.set(bytes.length);
        return bytes;
    }

    /** Gives back the memory at the end of the response. */
    void release() {
        held.release();
    }
}
