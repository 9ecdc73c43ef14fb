package org.bamboohatch.http;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;

import org.bamboohatch.kernel.outcome.ErrorCode;
import org.bamboohatch.kernel.outcome.Refusal;
import org.bamboohatch.kernel.outcome.Result;
import org.eclipse.jetty.io.Content;
import org.eclipse.jetty.server.Request;

/** Reads the body of a request asynchronously, up to a maximum size. */
public final class BodyReader {

    private final Request request;

    private final long maximumBytes;

    /** The part of the body that has been read so far. */
    /** The parts of the body that have arrived. A buffer that grows would take up several times the size of a large body. */
    private final List<byte[]> parts = new ArrayList<>();

    private long receivedBytes;

    private final CompletableFuture<Result<byte[], Refusal>> result = new CompletableFuture<>();

    private BodyReader(Request request, long maximumBytes) {
        this.request = request;
        this.maximumBytes = maximumBytes;
    }

    /**
     * Reads the complete body of a request. A declared content length over the maximum is refused before reading.
     *
     * @param request the request whose body has not been read yet
     * @param maximumBytes maximum size of the body, in bytes
     * @return the body, or the error for the caller if the body is too large or cannot be read
     */
    public static CompletableFuture<Result<byte[], Refusal>> read(Request request, long maximumBytes) {
        BodyReader reader = new BodyReader(request, maximumBytes);
        if (request.getLength() > maximumBytes) {
            reader.refuseOversized();
        } else {
            reader.readAvailable();
        }
        return reader.result;
    }

    /** Reads the chunks that have arrived, and continues when more arrive. */
    private void readAvailable() {
        while (true) {
            Content.Chunk chunk = request.read();
            if (chunk == null) {
                request.demand(this::readAvailable);
                return;
            }
            if (Content.Chunk.isFailure(chunk)) {
                result.complete(Result.failure(
                        Refusal.notRun(ErrorCode.INVALID_REQUEST, "The request body could not be read in time.")));
                return;
            }
            append(chunk);
            boolean last = chunk.isLast();
            chunk.release();
            if (receivedBytes > maximumBytes) {
                refuseOversized();
                return;
            }
            if (last) {
                result.complete(Result.success(joinParts()));
                return;
            }
        }
    }

    private void append(Content.Chunk chunk) {
        byte[] bytes = new byte[chunk.remaining()];
        chunk.getByteBuffer().get(bytes);
        parts.add(bytes);
        receivedBytes += bytes.length;
    }

    private byte[] joinParts() {
        ByteBuffer body = ByteBuffer.allocate((int) receivedBytes);
        parts.forEach(body::put);
        parts.clear();
        return body.array();
    }

    private void refuseOversized() {
        result.complete(Result.failure(Refusal.notRun(
                ErrorCode.TOO_LARGE, "The request body is over the bound of " + maximumBytes + " bytes.")));
    }
}
