package org.bamboohatch.gateway.forward;

import java.util.Optional;
import java.util.concurrent.TimeUnit;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.util.concurrent.Future;
import org.bamboohatch.gateway.GatewayClock;
import org.bamboohatch.gateway.buffer.BufferBudget;
import org.bamboohatch.gateway.target.BodyFraming;
import org.bamboohatch.gateway.target.HttpTargetConnection;
import org.bamboohatch.gateway.target.LossCause;
import org.bamboohatch.gateway.target.ResponseListener;
import org.bamboohatch.gateway.target.TargetAddress;

/** One attempt to have a request answered by one target. */
final class ForwardingAttempt implements ResponseListener {

    /**
     * Largest body that is buffered until it is complete, in bytes. While a body is buffered, a lost response can still
     * be replaced by that of another target.
     */
    private static final int MAX_BUFFERED_BYTES = 1024 * 1024;

    /** Largest event of a stream, in bytes. */
    private static final int MAX_EVENT_BYTES = 1024 * 1024;

    /** Bytes of an unused body that are read, so that its connection can be used again; after more it is closed. */
    private static final long MAX_DISCARDED_BYTES = 64 * 1024;

    private static final String EVENT_STREAM = "text/event-stream";

    /** Time for which a target must generate a response to show that the prompt does not end it, in milliseconds. */
    private static final long PROVEN_GENERATION_MS = 500;

    private final ForwardedRequest forwarded;

    private final AttemptResources resources;

    private final long startedAt;

    /** Number of events that the request had received from other attempts when this one began. */
    private final long eventsBefore;

    /** Whether a connection was closed before the request was sent. */
    private boolean reconnecting;

    /** The connection, null until it is open. */
    private HttpTargetConnection connection;

    private HttpResponse response;

    /** Body of a response that is not forwarded before it is complete. */
    private ByteBuf buffer = Unpooled.buffer(0);

    /** Memory of the buffered body, or of the incomplete event. */
    private final BufferBudget.Holder held;

    private Mode mode = Mode.AWAITING_HEAD;

    /** Bytes of a body that is not used. */
    private long discardedBytes;

    /**
     * Time at which the response last progressed, in milliseconds; initially the start of the attempt. Bytes without a
     * complete event are no progress of a stream.
     */
    private long lastActivityAt;

    /** Whether the target is not read from until the caller has taken what was sent. */
    private boolean readingPaused;

    /** Time of the first event of this attempt, in milliseconds; zero before it. */
    private long firstEventAt;

    /** Whether it was recorded that the target generates on the prompt. */
    private boolean generationRecorded;

    /** The scheduled check for an idle target. */
    private Future<?> idleCheck;

    /** Treatment of the response body. */
    private enum Mode {
        /** The head of the response has not arrived. */
        AWAITING_HEAD,
        /** Complete events are forwarded. */
        EVENTS,
        /** The body is buffered until it is complete. */
        BUFFER,
        /** The body exceeded the buffer and is forwarded as it arrives. */
        FORWARD,
        /** The body is discarded, because the request is answered otherwise. */
        DISCARD,
        /** The attempt has ended. */
        ENDED
    }

    /**
     * Creates an attempt that is not sent yet.
     *
     * @param forwarded the request that is forwarded
     * @param resources the targets and what the attempt occupies there; released when the attempt ends
     * @param held accounts for the memory of the response; released when the attempt ends
     * @param now current time, in milliseconds
     */
    ForwardingAttempt(ForwardedRequest forwarded, AttemptResources resources, BufferBudget.Holder held, long now) {
        this.forwarded = forwarded;
        this.resources = resources;
        this.held = held;
        this.startedAt = now;
        this.eventsBefore = forwarded.framer().eventCount();
        this.lastActivityAt = now;
    }

    TargetAddress target() {
        return resources.target();
    }

    AttemptResources resources() {
        return resources;
    }

    long startedAt() {
        return startedAt;
    }

    long eventsBefore() {
        return eventsBefore;
    }

    /**
     * Records that the connection is replaced because it was closed before the request was sent.
     *
     * @return whether it is the first time
     */
    boolean beginReconnect() {
        boolean first = !reconnecting;
        reconnecting = true;
        return first;
    }

    boolean isEnded() {
        return mode == Mode.ENDED;
    }

    void send(HttpTargetConnection openConnection, HttpHeaders headers) {
        connection = openConnection;
        lastActivityAt = GatewayClock.now();
        checkIdle();
        openConnection.send(
                forwarded.request().method(),
                forwarded.request().uri(),
                headers,
                forwarded.request().body(),
                this);
    }

    /** Cancels the attempt and closes its connection, so that the target can detect the cancellation. */
    void cancel() {
        if (mode == Mode.ENDED) {
            return;
        }
        end();
        if (connection != null) {
            connection.cancel();
        }
    }

    /** Resumes reading from the target once the caller's connection is writable again. */
    void resumeReading() {
        if (connection != null && mode != Mode.ENDED) {
            if (readingPaused) {
                readingPaused = false;
                lastActivityAt = GatewayClock.now();
            }
            connection.setAutoRead(true);
        }
    }

    /**
     * Returns how the response shows its end. The head of the response must have arrived.
     *
     * @return the framing of the body
     */
    private BodyFraming framing() {
        return BodyFraming.of(response);
    }

    /**
     * Describes the response for the decision log.
     *
     * @return its status and framing, for example {@code 200 CHUNKS}, empty if its head has not arrived
     */
    String describeResponse() {
        return response == null ? "" : response.status().code() + " " + framing();
    }

    /** Ends the attempt and releases its resources at the targets. */
    private void end() {
        mode = Mode.ENDED;
        resources.release();
        buffer.release();
        held.release();
        if (idleCheck != null) {
            idleCheck.cancel(false);
        }
    }

    /** Reports a target that exceeded its idle timeout, and schedules the next check. */
    private void checkIdle() {
        long now = GatewayClock.now();
        long timeoutMillis = IdleTimeout.millis(forwarded.demand(), resources.placement(), mode == Mode.EVENTS);
        long remainingMillis = readingPaused ? timeoutMillis : lastActivityAt + timeoutMillis - now;
        if (remainingMillis <= 0 && mode == Mode.DISCARD) {
            cancel();
            return;
        }
        if (remainingMillis <= 0) {
            forwarded.onIdle(this, now - lastActivityAt);
            if (mode == Mode.ENDED) {
                return;
            }
            remainingMillis = timeoutMillis;
        }
        idleCheck = forwarded.loop().schedule(this::checkIdle, Math.max(1, remainingMillis), TimeUnit.MILLISECONDS);
    }

    @Override
    public void onHead(HttpResponse head) {
        response = head;
        lastActivityAt = GatewayClock.now();
        forwarded.monitor().recordActivity(target(), lastActivityAt);
        boolean success = head.status().codeClass() == HttpStatusClass.SUCCESS;
        boolean sealed = head.headers().contains(forwarded.dialect().seal());
        boolean encoded = head.headers().contains(HttpHeaderNames.CONTENT_ENCODING);
        if (success && !sealed || encoded) {
            rejectResponse("answer without a seal or with an encoding");
            return;
        }
        if (TargetStatus.isNotExecuted(head, forwarded.dialect())) {
            mode = Mode.DISCARD;
            forwarded.onNotExecuted(this, head);
            return;
        }
        boolean events = success && isEventStream(head) && !isHeadOnly();
        if (forwarded.mustReplace(head, events)) {
            mode = Mode.DISCARD;
            forwarded.onFailedResponse(this, head);
            return;
        }
        mode = events ? Mode.EVENTS : Mode.BUFFER;
    }

    private static boolean isEventStream(HttpResponse head) {
        return head.headers().get(HttpHeaderNames.CONTENT_TYPE, "").startsWith(EVENT_STREAM);
    }

    @Override
    public void onContent(ByteBuf part) {
        switch (mode) {
            case EVENTS -> forwardEvents(part);
            case BUFFER -> bufferPart(part);
            case FORWARD -> {
                lastActivityAt = GatewayClock.now();
                forward(part.retainedSlice());
            }
            case DISCARD -> discard(part);
            default -> {
                // The response is not used.
            }
        }
    }

    private void forwardEvents(ByteBuf part) {
        long now = GatewayClock.now();
        long progressBefore = forwarded.framer().progress();
        byte[] events = forwarded.framer().append(part, now);
        held.set(forwarded.framer().bufferBytes());
        forwarded.monitor().recordActivity(target(), now);
        if (forwarded.framer().progress() > progressBefore) {
            lastActivityAt = now;
            firstEventAt = firstEventAt == 0 ? now : firstEventAt;
            if (now - firstEventAt >= PROVEN_GENERATION_MS) {
                recordGeneration(now);
            }
        }
        if (events.length > 0) {
            resources.beginDecoding();
            forwarded.beginResponse(this, response, -1);
            forward(Unpooled.wrappedBuffer(events));
        }
        Optional<String> violation = forwarded.framer().violation();
        if (violation.isPresent()) {
            rejectResponse(violation.get());
        } else if (forwarded.framer().partialEventBytes() > MAX_EVENT_BYTES) {
            rejectResponse("event of more than " + MAX_EVENT_BYTES + " bytes");
        } else if (held.exceedsShare()) {
            rejectResponse(
                    "event of more than " + forwarded.framer().partialEventBytes() + " bytes while buffers are full");
        }
    }

    private void recordGeneration(long now) {
        if (!generationRecorded) {
            generationRecorded = true;
            forwarded.monitor().recordGeneration(now);
        }
    }

    private void discard(ByteBuf part) {
        discardedBytes += part.readableBytes();
        if (discardedBytes > MAX_DISCARDED_BYTES) {
            forwarded.recordFailure(this);
            cancel();
        }
    }

    private void bufferPart(ByteBuf part) {
        lastActivityAt = GatewayClock.now();
        buffer.writeBytes(part);
        held.set(buffer.capacity());
        if (buffer.readableBytes() > MAX_BUFFERED_BYTES || held.exceedsShare()) {
            mode = Mode.FORWARD;
            forwarded.beginResponse(this, response, contentLength());
            forward(takeBuffer());
        }
    }

    /**
     * Indicates whether the response has no body even if its head declares one.
     *
     * @return whether it answers a HEAD request or states that the resource has not changed
     */
    private boolean isHeadOnly() {
        return forwarded.request().method().equals(HttpMethod.HEAD)
                || response.status().equals(HttpResponseStatus.NOT_MODIFIED);
    }

    /**
     * Hands over the buffered body. The responder accounts for its memory from then on.
     *
     * @return the body, to be released by the receiver
     */
    private ByteBuf takeBuffer() {
        ByteBuf body = buffer;
        buffer = Unpooled.EMPTY_BUFFER;
        held.release();
        return body;
    }

    /**
     * Returns the content length that the head of the response declares.
     *
     * @return the length in bytes, negative if none is declared
     */
    private long contentLength() {
        String value = response.headers().get(HttpHeaderNames.CONTENT_LENGTH);
        return value == null ? -1 : Long.parseLong(value);
    }

    /**
     * Forwards a part of the body, and stops reading from the target while the caller's connection is not writable.
     *
     * @param part the part, owned by the responder afterwards
     */
    private void forward(ByteBuf part) {
        forwarded.responder().content(part);
        if (!forwarded.responder().isWritable()) {
            readingPaused = true;
            connection.setAutoRead(false);
        }
    }

    @Override
    public void onEnd() {
        Mode modeAtEnd = mode;
        if (modeAtEnd == Mode.ENDED) {
            return;
        }
        if (modeAtEnd == Mode.EVENTS && endsTooEarly()) {
            end();
            reportCrash();
            forwarded.onLost(this, "stream ended within an event or before the first one");
            return;
        }
        if (modeAtEnd == Mode.EVENTS || modeAtEnd == Mode.BUFFER) {
            boolean stream = modeAtEnd == Mode.EVENTS;
            long length = isHeadOnly() ? contentLength() : buffer.readableBytes();
            forwarded.beginResponse(this, response, stream ? -1 : length);
            if (!stream) {
                forwarded.responder().content(takeBuffer());
            }
        }
        end();
        if (modeAtEnd == Mode.DISCARD) {
            return;
        }
        boolean whole = framing().isExplicit() && (modeAtEnd != Mode.EVENTS || firstEventAt > 0);
        if (whole && response.status().codeClass() == HttpStatusClass.SUCCESS) {
            recordGeneration(GatewayClock.now());
        }
        forwarded.onResponseEnd(this, response);
    }

    /**
     * Indicates whether a stream that has ended was cut off.
     *
     * @return whether its last event is incomplete, or it has none and nothing but the connection shows its end
     */
    private boolean endsTooEarly() {
        return forwarded.framer().hasPartialEvent()
                || firstEventAt == 0 && !framing().isExplicit();
    }

    @Override
    public void onLost(LossCause cause) {
        boolean discarded = mode == Mode.DISCARD;
        if (mode == Mode.ENDED) {
            return;
        }
        end();
        if (discarded) {
            return;
        }
        if (cause.isConnectionEnded()) {
            reportCrash();
        }
        forwarded.onLost(this, cause.reason());
    }

    /** Reports that the target has ended the connection, if the request may be the reason. */
    private void reportCrash() {
        long now = GatewayClock.now();
        if (firstEventAt == 0 || now - firstEventAt < PROVEN_GENERATION_MS) {
            forwarded.monitor().recordCrash(target(), now);
        }
    }

    /**
     * Closes the connection and treats the response as lost.
     *
     * @param reason the reason, for the decision log and the caller
     */
    private void rejectResponse(String reason) {
        end();
        connection.cancel();
        forwarded.onLost(this, reason);
    }
}
