package org.bamboohatch.http;

import java.io.ByteArrayOutputStream;
import java.util.concurrent.CompletableFuture;

import org.bamboohatch.kernel.outcome.ErrorCode;
import org.bamboohatch.kernel.outcome.Refusal;
import org.bamboohatch.kernel.outcome.Result;
import org.eclipse.jetty.io.Content;
import org.eclipse.jetty.server.Request;

/** Reads the body of a request without blocking and within a bound. */
public final class BodyReader {

    /** The request. */
    private final Request request;

    /** The largest body, in bytes. */
    private final long maximumBytes;

    /** What has been read. */
    private final ByteArrayOutputStream body = new ByteArrayOutputStream();

    /** Takes the whole body. */
    private final CompletableFuture<Result<byte[], Refusal>> whole = new CompletableFuture<>();

    /**
     * Creates a reader.
     *
     * @param request the request
     * @param maximumBytes the largest body, in bytes
     */
    private BodyReader(Request request, long maximumBytes) {
        this.request = request;
        this.maximumBytes = maximumBytes;
    }

    /**
     * Reads a body.
     *
     * @param request the request
     * @param maximumBytes the largest body, in bytes
     * @return the body, or why it is refused
     */
    public static CompletableFuture<Result<byte[], Refusal>> read(Request request, long maximumBytes) {
        BodyReader reader = new BodyReader(request, maximumBytes);
        if (request.getLength() > maximumBytes) {
            reader.refuseSize();
        } else {
            reader.readOn();
        }
        return reader.whole;
    }

    /** Reads what is there and asks for more. */
    private void readOn() {
        while (true) {
            Content.Chunk chunk = request.read();
            if (chunk == null) {
                request.demand(this::readOn);
                return;
            }
            if (Content.Chunk.isFailure(chunk)) {
                whole.complete(Result.failure(
                        Refusal.notRun(ErrorCode.INVALID_REQUEST, "The request body could not be read in time.")));
                return;
            }
            append(chunk);
            boolean last = chunk.isLast();
            chunk.release();
            if (body.size() > maximumBytes) {
                refuseSize();
                return;
            }
            if (last) {
                whole.complete(Result.success(body.toByteArray()));
                return;
            }
        }
    }

    /**
     * Keeps a part of the body.
     *
     * @param chunk the part
     */
    private void append(Content.Chunk chunk) {
        byte[] bytes = new byte[chunk.remaining()];
        chunk.getByteBuffer().get(bytes);
        body.writeBytes(bytes);
    }

    /** Refuses the body for its size. */
    private void refuseSize() {
        whole.complete(Result.failure(Refusal.notRun(
                ErrorCode.TOO_LARGE, "The request body is over the bound of " + maximumBytes + " bytes.")));
    }
}
