package org.bamboohatch.http;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.Queue;

import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;

/** Writes a response part by part from any thread, in order and without blocking. */
public final class ResponseStream {

    /** The response. */
    private final Response response;

    /** Completes the exchange. */
    private final Callback callback;

    /** Called once if the caller has gone away. */
    private final Runnable onGone;

    /** Parts that wait for the one being written. */
    private final Queue<ByteBuffer> waiting = new ArrayDeque<>();

    /** Whether a part is being written. */
    private boolean writing;

    /** Whether the last part has been given. */
    private boolean ended;

    /** Whether the exchange is complete. */
    private boolean completed;

    /**
     * Creates a stream.
     *
     * @param response the response
     * @param callback completes the exchange
     * @param onGone called once if the caller has gone away
     */
    public ResponseStream(Response response, Callback callback, Runnable onGone) {
        this.response = response;
        this.callback = callback;
        this.onGone = onGone;
    }

    /**
     * Sets the status and media type; only before the first part.
     *
     * @param status the HTTP status
     * @param contentType the media type
     */
    public void begin(int status, String contentType) {
        response.setStatus(status);
        response.getHeaders().put(HttpHeader.CONTENT_TYPE, contentType);
    }

    /**
     * Sends an event as in server-sent events.
     *
     * @param data the data of the event, one line
     */
    public void sendEvent(String data) {
        send(("data: " + data + "\n\n").getBytes(StandardCharsets.UTF_8));
    }

    /**
     * Sends a part.
     *
     * @param part the part
     */
    public synchronized void send(byte[] part) {
        if (ended || completed) {
            return;
        }
        waiting.add(ByteBuffer.wrap(part));
        writeNext();
    }

    /** Ends the response after the parts sent so far. */
    public synchronized void end() {
        if (!ended) {
            ended = true;
            writeNext();
        }
    }

    /** Writes the next part, or the end. */
    private void writeNext() {
        if (writing || completed) {
            return;
        }
        ByteBuffer part = waiting.poll();
        if (part != null) {
            writing = true;
            boolean last = ended && waiting.isEmpty();
            completed = last;
            response.write(last, part, Callback.from(() -> written(last), this::failed));
        } else if (ended) {
            completed = true;
            response.write(true, ByteBuffer.allocate(0), callback);
        }
    }

    /**
     * Goes on after a part.
     *
     * @param last whether it was the last
     */
    private synchronized void written(boolean last) {
        writing = false;
        if (last) {
            callback.succeeded();
        } else {
            writeNext();
        }
    }

    /**
     * Ends after the caller has gone away.
     *
     * @param cause the cause
     */
    private void failed(Throwable cause) {
        synchronized (this) {
            writing = false;
            completed = true;
            ended = true;
            waiting.clear();
        }
        callback.failed(cause);
        onGone.run();
    }
}
