package org.bamboohatch.gateway.forward;

import java.util.concurrent.TimeUnit;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.util.concurrent.Future;
import org.bamboohatch.gateway.GatewayClock;
import org.bamboohatch.gateway.target.AnswerListener;
import org.bamboohatch.gateway.target.TargetAddress;
import org.bamboohatch.gateway.target.TargetConnection;

/** One request at one target. */
final class ForwardingAttempt implements AnswerListener {

    /** Largest body that is kept until it is whole, in bytes; a failed one can be replaced by another target's. */
    private static final int MAX_KEPT_BYTES = 1024 * 1024;

    /** Content type of a stream of events. */
    private static final String EVENT_STREAM = "text/event-stream";

    /** The request. */
    private final ForwardedRequest forwarding;

    /** The way to the targets. */
    private final AttemptResources dispatch;

    /** Time at which the attempt began. */
    private final long beganAt;

    /** The connection, null before it is open. */
    private TargetConnection connection;

    /** Head of the answer. */
    private HttpResponse response;

    /** Parts of an answer that is kept until it is whole. */
    private final ByteBuf kept = Unpooled.buffer(0);

    /** What is done with the answer. */
    private Mode mode = Mode.WAITING;

    /** Time of the last sign of the target. */
    private long heardAt;

    /** Watches for silence. */
    private Future<?> watch;

    /** What is done with the parts of an answer. */
    private enum Mode {
        /** The head has not arrived. */
        WAITING,
        /** Whole events are passed on. */
        EVENTS,
        /** The parts are kept until the answer is whole. */
        KEEP,
        /** The parts are passed on as they come. */
        PASS,
        /** The parts are dropped: the answer is of no use. */
        DROP,
        /** The attempt is over. */
        OVER
    }

    /**
     * Creates an attempt.
     *
     * @param forwarding the request
     * @param dispatch the way to the targets
     * @param now the present time
     */
    ForwardingAttempt(ForwardedRequest forwarding, AttemptResources dispatch, long now) {
        this.forwarding = forwarding;
        this.dispatch = dispatch;
        this.beganAt = now;
        this.heardAt = now;
    }

    /**
     * Returns the target.
     *
     * @return where the target is
     */
    TargetAddress target() {
        return dispatch.target();
    }

    /**
     * Returns the way to the targets.
     *
     * @return the way
     */
    AttemptResources dispatch() {
        return dispatch;
    }

    /**
     * Returns the time at which the attempt began.
     *
     * @return the time in milliseconds
     */
    long beganAt() {
        return beganAt;
    }

    /**
     * Tells whether the attempt was given up.
     *
     * @return whether it is over
     */
    boolean isOver() {
        return mode == Mode.OVER;
    }

    /**
     * Sends the request.
     *
     * @param opened the connection
     * @param headers header fields for the target
     */
    void send(TargetConnection opened, HttpHeaders headers) {
        connection = opened;
        heardAt = GatewayClock.now();
        watchSilence();
        opened.send(
                forwarding.request().method(),
                forwarding.request().uri(),
                headers,
                forwarding.request().body(),
                this);
    }

    /** Gives the attempt up; the target sees its connection close. */
    void cancel() {
        if (mode == Mode.OVER) {
            return;
        }
        finish();
        if (connection != null) {
            connection.cancel();
        }
    }

    /** Reads on after the caller has taken what was sent. */
    void resumeReading() {
        if (connection != null && mode != Mode.OVER) {
            connection.setReadable(true);
        }
    }

    /** Ends the attempt's work at its targets. */
    private void finish() {
        mode = Mode.OVER;
        dispatch.end();
        kept.release();
        if (watch != null) {
            watch.cancel(false);
        }
    }

    /** Looks again when the target would have been silent for too long. */
    private void watchSilence() {
        long now = GatewayClock.now();
        long patience = forwarding.silenceMillis(this, mode == Mode.EVENTS);
        long left = heardAt + patience - now;
        if (left <= 0 && mode == Mode.DROP) {
            cancel();
            return;
        }
        if (left <= 0) {
            forwarding.onSilent(this, now - heardAt);
            if (mode == Mode.OVER) {
                return;
            }
            left = patience;
        }
        watch = forwarding.loop().schedule(this::watchSilence, Math.max(1, left), TimeUnit.MILLISECONDS);
    }

    @Override
    public void onHead(HttpResponse head) {
        response = head;
        heardAt = GatewayClock.now();
        boolean success = head.status().codeClass() == HttpStatusClass.SUCCESS;
        boolean sealed = head.headers().contains(forwarding.dialect().seal());
        boolean encoded = head.headers().contains(HttpHeaderNames.CONTENT_ENCODING);
        if (success && !sealed || encoded) {
            abandon("answer without a seal or with an encoding");
            return;
        }
        if (TargetStatus.isNotExecuted(head, forwarding.dialect())) {
            mode = Mode.DROP;
            forwarding.onNotExecuted(this, head);
            return;
        }
        if (!success && forwarding.wantsAnother(this, head)) {
            mode = Mode.DROP;
            forwarding.onFailedAnswer(this, head);
            return;
        }
        String type = head.headers().get(HttpHeaderNames.CONTENT_TYPE, "");
        if (success && type.startsWith(EVENT_STREAM)) {
            mode = Mode.EVENTS;
        } else {
            mode = Mode.KEEP;
        }
    }

    @Override
    public void onContent(ByteBuf part) {
        heardAt = GatewayClock.now();
        switch (mode) {
            case EVENTS -> passEvents(part);
            case KEEP -> keep(part);
            case PASS -> pass(part.retainedSlice());
            default -> {
                // The answer is of no use.
            }
        }
    }

    /**
     * Passes whole events on.
     *
     * @param part a part of the stream
     */
    private void passEvents(ByteBuf part) {
        byte[] events = forwarding.cutter().take(part, heardAt);
        if (events.length == 0) {
            return;
        }
        dispatch.beginWriting();
        forwarding.beginAnswer(this, response, -1);
        pass(Unpooled.wrappedBuffer(events));
    }

    /**
     * Keeps a part until the answer is whole.
     *
     * @param part the part
     */
    private void keep(ByteBuf part) {
        kept.writeBytes(part);
        if (kept.readableBytes() > MAX_KEPT_BYTES) {
            mode = Mode.PASS;
            forwarding.beginAnswer(this, response, length());
            pass(kept.retainedDuplicate());
        }
    }

    /**
     * Reads the length that the answer's head tells.
     *
     * @return the length, negative if it is not told
     */
    private long length() {
        String value = response.headers().get(HttpHeaderNames.CONTENT_LENGTH);
        return value == null ? -1 : Long.parseLong(value);
    }

    /**
     * Passes a part on and stops reading while the caller does not take it.
     *
     * @param part the part
     */
    private void pass(ByteBuf part) {
        forwarding.responder().content(part);
        if (!forwarding.responder().isWritable()) {
            connection.setReadable(false);
        }
    }

    @Override
    public void onEnd() {
        Mode ended = mode;
        if (ended == Mode.OVER) {
            return;
        }
        if (ended == Mode.EVENTS && forwarding.cutter().hasPartial()) {
            finish();
            forwarding.onLost(this, "stream ended within an event");
            return;
        }
        if (ended == Mode.EVENTS || ended == Mode.KEEP) {
            boolean stream = ended == Mode.EVENTS;
            forwarding.beginAnswer(this, response, stream ? -1 : kept.readableBytes());
            if (!stream) {
                forwarding.responder().content(kept.retainedDuplicate());
            }
        }
        finish();
        if (ended != Mode.DROP) {
            forwarding.onAnswered(this, response);
        }
    }

    @Override
    public void onLost(String reason) {
        boolean dropped = mode == Mode.DROP;
        if (mode == Mode.OVER) {
            return;
        }
        finish();
        if (!dropped) {
            forwarding.onLost(this, reason);
        }
    }

    /**
     * Ends the attempt because its answer is of no use.
     *
     * @param reason why
     */
    private void abandon(String reason) {
        finish();
        connection.cancel();
        forwarding.onLost(this, reason);
    }
}
