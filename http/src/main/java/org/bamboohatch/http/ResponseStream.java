package org.bamboohatch.http;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.Queue;

import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;

/** Writes a response in parts, in the order in which they are sent; can be used from any thread and does not block. */
public final class ResponseStream {

    private final Response response;

    private final Callback callback;

    private final Runnable onDisconnect;

    /** Parts to write after the current one. */
    private final Queue<ByteBuffer> pending = new ArrayDeque<>();

    /** Whether a write is in progress; the response allows one at a time. */
    private boolean writing;

    /** Whether no more parts will be sent. */
    private boolean ended;

    /** Whether the last write was started or a write has failed. */
    private boolean completed;

    /**
     * Creates a stream for a response of which nothing has been written yet.
     *
     * @param response the response to write
     * @param callback completed when the response is written or has failed
     * @param onDisconnect invoked, at most once, when a part cannot be written because the caller has disconnected
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
     * Sends a part of the body. Does nothing after the end of the response or a failed write.
     *
     * @param part bytes to send; must not be modified afterwards
     */
    public synchronized void send(byte[] part) {
        if (ended || completed) {
            return;
        }
        pending.add(ByteBuffer.wrap(part));
        writeNext();
    }

    /** Ends the response once all parts sent before are written. */
    public synchronized void end() {
        if (!ended) {
            ended = true;
            writeNext();
        }
    }

    /** Starts to write the next part or the end of the response, unless a write is in progress. */
    private void writeNext() {
        if (writing || completed) {
            return;
        }
        ByteBuffer part = pending.poll();
        if (part != null) {
            writing = true;
            boolean last = ended && pending.isEmpty();
            completed = last;
            response.write(last, part, Callback.from(() -> onWritten(last), this::onWriteFailed));
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

    private void onWriteFailed(Throwable cause) {
        synchronized (this) {
            writing = false;
            completed = true;
            ended = true;
            pending.clear();
        }
        callback.failed(cause);
        onDisconnect.run();
    }
}
