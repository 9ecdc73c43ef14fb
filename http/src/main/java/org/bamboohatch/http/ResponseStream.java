package org.bamboohatch.http;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;

import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;

/** Writes a response in parts, in the order in which they are sent; can be used from any thread and does not block. */
public final class ResponseStream {

    /** Maximum number of bytes that wait until the caller has read what was written before. */
    private static final int MAX_PENDING_BYTES = 1024 * 1024;

    private final Response response;

    private final Callback callback;

    private final Runnable onDisconnect;

    /** Bytes to write after the current write. */
    private final ByteArrayOutputStream pending = new ByteArrayOutputStream();

    /** Whether a write is in progress; the response allows one at a time. */
    private boolean writing;

    /** Whether no more parts will be sent. */
    private boolean ended;

    /** Whether the last write was started or the stream has failed. */
    private boolean completed;

    /** Whether a write has failed or the caller was too far behind. */
    private boolean failed;

    /**
     * Creates a stream for a response of which nothing has been written yet.
     *
     * @param response the response to write
     * @param callback completed when the response is written or has failed
     * @param onDisconnect invoked, at most once, when a part cannot be written because the caller has disconnected or
     *     does not read
     */
    public ResponseStream(Response response, Callback callback, Runnable onDisconnect) {
        this.response = response;
        this.callback = callback;
        this.onDisconnect = onDisconnect;
    }

    /**
     * Sets the status and media type. Must be called before the first part is sent.
     *
     * @param status HTTP status of the response
     * @param contentType media type of the body
     */
    public void begin(int status, String contentType) {
        response.setStatus(status);
        response.getHeaders().put(HttpHeader.CONTENT_TYPE, contentType);
    }

    /**
     * Sends a server-sent event.
     *
     * @param data data of the event; must not contain line breaks
     */
    public void sendEvent(String data) {
        send(("data: " + data + "\n\n").getBytes(StandardCharsets.UTF_8));
    }

    /**
     * Sends a part of the body. Does nothing after the end of the response or a failed write. The response is aborted if too
     * many bytes wait already.
     *
     * @param part bytes to send
     */
    public void send(byte[] part) {
        synchronized (this) {
            if (ended || completed) {
                return;
            }
            if (pending.size() == 0 || pending.size() + part.length <= MAX_PENDING_BYTES) {
                pending.writeBytes(part);
                writeNext();
                return;
            }
        }
        fail(new IOException("the caller does not read"));
    }

    /** Ends the response once all parts sent before are written. */
    public synchronized void end() {
        if (!ended) {
            ended = true;
            writeNext();
        }
    }

    /** Starts to write the pending bytes or the end of the response, unless a write is in progress. */
    private void writeNext() {
        if (writing || completed) {
            return;
        }
        if (pending.size() > 0) {
            ByteBuffer part = ByteBuffer.wrap(pending.toByteArray());
            pending.reset();
            writing = true;
            boolean last = ended;
            completed = last;
            response.write(last, part, Callback.from(() -> onWritten(last), this::fail));
        } else if (ended) {
            completed = true;
            response.write(true, ByteBuffer.allocate(0), callback);
        }
    }

    private synchronized void onWritten(boolean last) {
        writing = false;
        if (last) {
            callback.succeeded();
        } else {
            writeNext();
        }
    }

    private void fail(Throwable cause) {
        synchronized (this) {
            if (failed) {
                return;
            }
            failed = true;
            completed = true;
            ended = true;
            pending.reset();
        }
        callback.failed(cause);
        onDisconnect.run();
    }
}
