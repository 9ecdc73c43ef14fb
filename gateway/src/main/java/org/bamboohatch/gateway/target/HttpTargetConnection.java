package org.bamboohatch.gateway.target;

import java.io.IOException;
import java.util.OptionalLong;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.EmptyHttpHeaders;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import org.bamboohatch.gateway.GatewayClock;

/** An HTTP connection to a target that carries one request at a time; confined to the callers' event loop. */
public final class HttpTargetConnection extends ChannelInboundHandlerAdapter {

    /** Header field in which a target reports for how long it keeps an idle connection open. */
    private static final String KEEP_ALIVE = "Keep-Alive";

    /** Prefix of the time in seconds in the value of the field. */
    private static final String KEEP_ALIVE_TIMEOUT = "timeout=";

    private static final long MILLIS_PER_SECOND = 1_000;

    /**
     * Maximum size of what a target sends between a request and the head of its response, in bytes: interim responses and
     * late responses to earlier requests.
     */
    private static final long MAX_UNRELATED_BYTES = 2 * 1024 * 1024;

    private final String requestIdField;

    private final TargetAddress address;

    private final TargetConnectionPool pool;

    private final TargetProbe probe;

    private final HeadMemory headMemory;

    private Channel channel;

    /** Receives the response to the request in progress, null if there is none. */
    private ResponseListener listener;

    /** Id of the request in progress, null for a memory command. */
    private String expectedId;

    /** Time at which the latest request was sent, in milliseconds. */
    private long sentAt;

    /** The write of the latest request, null before the first. */
    private ChannelFuture requestWrite;

    /** Whether the response that arrives does not belong to the request in progress, or is informational. */
    private boolean discarding;

    /** Whether the request in progress asks for the head of a response only. */
    private boolean headOnly;

    /** Whether the connection can carry another request after the response. */
    private boolean reusable;

    /** Whether the head of the response has arrived. */
    private boolean headReceived;

    /** Whether the response is successful and nothing of its body has arrived. */
    private boolean bodyMissing;

    /** Whether the connection has ended as the response does, and the target is asked for another one. */
    private boolean confirmingEnd;

    /** Bytes received since the request was sent, until the head of its response has arrived. */
    private long unrelatedBytes;

    /** Whether the connection carried another request before the one in progress. */
    private boolean used;

    /** Whether the connection has carried a request without an id. */
    private boolean carriedUnidentified;

    /** Whether reading or writing failed; the end of the connection then does not complete a response. */
    private boolean failed;

    /** Time for which the target keeps an idle connection open, in milliseconds; zero if it reports none. */
    private long keepAliveMillis;

    private long idleSince;

    /**
     * Creates a connection whose channel is not open yet.
     *
     * @param address address of the target
     * @param requestIdField name of the header field with the id of a request
     * @param pool pool to which the connection is returned after a response
     * @param probe finds out whether the target still runs
     */
    HttpTargetConnection(TargetAddress address, String requestIdField, TargetConnectionPool pool, TargetProbe probe) {
        this.address = address;
        this.requestIdField = requestIdField;
        this.pool = pool;
        this.probe = probe;
        this.headMemory = new HeadMemory(pool.openResponseBuffer());
    }

    TargetAddress address() {
        return address;
    }

    /**
     * Returns the start of the present idle time.
     *
     * @return monotonic time at which the connection became idle, in milliseconds
     */
    long idleSince() {
        return idleSince;
    }

    /**
     * Indicates whether a late second response to a request without an id may arrive.
     *
     * @return whether the connection has carried such a request
     */
    boolean carriedUnidentified() {
        return carriedUnidentified;
    }

    void setIdleSince(long now) {
        idleSince = now;
    }

    /**
     * Returns the time for which the target keeps an idle connection open.
     *
     * @return the time in milliseconds, zero if the target has not reported any
     */
    long keepAliveMillis() {
        return keepAliveMillis;
    }

    /**
     * Sends a request. No other request may be in progress on the connection.
     *
     * @param method method of the request
     * @param uri path and query of the request
     * @param headers header fields of the request; a response with another request id is discarded
     * @param body body of the request
     * @param responseListener receives the response
     */
    public void send(
            HttpMethod method, String uri, HttpHeaders headers, byte[] body, ResponseListener responseListener) {
        used = requestWrite != null;
        sentAt = GatewayClock.now();
        listener = responseListener;
        expectedId = headers.get(requestIdField);
        headOnly = method.equals(HttpMethod.HEAD);
        carriedUnidentified |= expectedId == null;
        discarding = false;
        headReceived = false;
        unrelatedBytes = 0;
        reusable = false;
        FullHttpRequest request = new DefaultFullHttpRequest(
                HttpVersion.HTTP_1_1, method, uri, Unpooled.wrappedBuffer(body), headers, EmptyHttpHeaders.INSTANCE);
        requestWrite = channel.writeAndFlush(request);
        requestWrite.addListener(written -> {
            if (!written.isSuccess()) {
                onWriteFailed(written.cause());
            }
        });
    }

    /**
     * Closes the connection. A reset that a write has met is not reported to the reads that follow, which only see the end of
     * the connection, so it must not complete a response.
     *
     * @param cause why the request was not written
     */
    private void onWriteFailed(Throwable cause) {
        failed = true;
        if (!(cause instanceof IOException)) {
            pool.logUnexpectedError(cause);
        }
        if (channel.isActive()) {
            channel.close();
        } else {
            loseResponse(LossCause.RESET);
        }
    }

    /** Cancels the request in progress by closing the connection, so that the target can detect the cancellation. */
    public void cancel() {
        listener = null;
        headMemory.release();
        channel.close();
    }

    /**
     * Enables or disables reading from the target, to match the rate at which the caller receives the response.
     *
     * @param autoRead whether to read
     */
    public void setAutoRead(boolean autoRead) {
        channel.config().setAutoRead(autoRead);
    }

    void close() {
        channel.close();
    }

    /**
     * Indicates whether a request can be sent on the connection.
     *
     * @return whether neither side has closed it
     */
    public boolean isOpen() {
        return channel.isActive();
    }

    @Override
    public void handlerAdded(ChannelHandlerContext context) {
        channel = context.channel();
    }

    /**
     * Closes the connection if the target sends bytes while no request is in progress, or too many that do not belong to
     * the response. Precedes the decoder in the pipeline, which skips some bytes without reporting them.
     */
    final class UnrelatedBytesLimit extends ChannelInboundHandlerAdapter {

        @Override
        public void channelRead(ChannelHandlerContext reading, Object message) {
            int headBytes = message instanceof ByteBuf bytes && !headReceived ? bytes.readableBytes() : 0;
            unrelatedBytes += headBytes;
            if (listener == null || unrelatedBytes > MAX_UNRELATED_BYTES) {
                ReferenceCountUtil.release(message);
                loseResponse(LossCause.UNRELATED_BYTES);
            } else {
                reading.fireChannelRead(message);
                accountForHead(headBytes);
            }
        }
    }

    private void accountForHead(int headBytes) {
        if (!headReceived && listener != null) {
            headMemory.recordRead(headBytes);
            if (headMemory.exceedsShare()) {
                loseResponse(LossCause.BUFFERS_FULL);
            }
        }
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        try {
            if (listener == null) {
                context.close();
                return;
            }
            if (message instanceof HttpResponse response) {
                handleHead(response);
            }
            if (message instanceof HttpContent content && listener != null) {
                handleContent(content);
            }
        } finally {
            ReferenceCountUtil.release(message);
        }
    }

    private void handleHead(HttpResponse response) {
        boolean switching = response.status().equals(HttpResponseStatus.SWITCHING_PROTOCOLS);
        if (response.decoderResult().isFailure() || switching) {
            loseResponse(LossCause.MALFORMED);
            return;
        }
        String id = response.headers().get(requestIdField);
        discarding = isForeign(id) || response.status().codeClass() == HttpStatusClass.INFORMATIONAL;
        boolean answersRequest = !discarding && expectedId != null;
        pool.observe(address, response, answersRequest ? OptionalLong.of(sentAt) : OptionalLong.empty());
        if (discarding) {
            headMemory.recordUnrelatedMessage();
            return;
        }
        headReceived = true;
        headMemory.recordHead(response.headers());
        if (headMemory.exceedsShare()) {
            loseResponse(LossCause.BUFFERS_FULL);
            return;
        }
        bodyMissing = response.status().codeClass() == HttpStatusClass.SUCCESS;
        // The codec pairs responses and methods in their order, so a second response to HEAD would be read with a body.
        boolean matchable = (id != null || expectedId == null) && !headOnly;
        reusable = matchable && BodyFraming.of(response).isExplicit() && HttpUtil.isKeepAlive(response);
        keepAliveMillis = parseKeepAliveMillis(response.headers());
        listener.onHead(response);
    }

    /**
     * Indicates whether a response belongs to an earlier request. A response without an id can only be matched to a
     * request if it is the first on the connection. Memory commands have no id, so only a response without an id belongs
     * to one.
     *
     * @param id request id that the response repeats, or null
     * @return whether the response does not belong to the request in progress
     */
    private boolean isForeign(String id) {
        if (expectedId == null) {
            return id != null;
        }
        return id == null ? used : !id.equals(expectedId);
    }

    /**
     * Parses the time for which the target keeps an idle connection open.
     *
     * @param headers header fields of a response
     * @return the time in milliseconds, zero if it is missing, malformed or has more than six digits
     */
    private static long parseKeepAliveMillis(HttpHeaders headers) {
        String value = headers.get(KEEP_ALIVE);
        int position = value == null ? -1 : value.indexOf(KEEP_ALIVE_TIMEOUT);
        if (position < 0) {
            return 0;
        }
        String digits = value.substring(position + KEEP_ALIVE_TIMEOUT.length()).replaceAll("[^0-9].*", "");
        return digits.isEmpty() || digits.length() > 6 ? 0 : Long.parseLong(digits) * MILLIS_PER_SECOND;
    }

    private void handleContent(HttpContent content) {
        boolean last = content instanceof LastHttpContent;
        if (discarding) {
            headMemory.recordUnrelatedMessage();
            discarding = !last;
            if (content.decoderResult().isFailure()) {
                loseResponse(LossCause.MALFORMED);
            }
            return;
        }
        if (content.decoderResult().isFailure()) {
            loseResponse(LossCause.MALFORMED);
            return;
        }
        if (last && failed) {
            loseResponse(LossCause.RESET);
            return;
        }
        if (content.content().isReadable()) {
            bodyMissing = false;
            listener.onContent(content.content());
        }
        if (last && listener != null && channel.isActive()) {
            completeResponse();
        } else if (last && listener != null) {
            confirmEnd();
        }
    }

    /** Reports the end of the response; first returns the connection to the pool or closes it. */
    private void completeResponse() {
        ResponseListener completed = listener;
        listener = null;
        unrelatedBytes = 0;
        headMemory.release();
        channel.config().setAutoRead(true);
        if (reusable && requestWrite.isDone() && channel.isActive() && !hasUndecodedBytes()) {
            idleSince = GatewayClock.now();
            pool.release(this);
        } else {
            channel.close();
        }
        completed.onEnd();
    }

    private boolean hasUndecodedBytes() {
        return channel.pipeline().get(TargetCodec.class).hasUndecodedBytes();
    }

    /**
     * Reports the end of a response that has ended with its connection. A target that crashes closes its connections too, so
     * the response is lost if the target has ended, or if nothing but the head shows a success.
     */
    private void confirmEnd() {
        if (bodyMissing) {
            loseResponse(LossCause.CUT);
            return;
        }
        confirmingEnd = true;
        probe.probe(address, GatewayClock.now(), running -> {
            if (listener == null) {
                return;
            }
            if (running) {
                completeResponse();
            } else {
                loseResponse(LossCause.CRASHED);
            }
        });
    }

    /**
     * Closes the connection, and reports the loss of the response if a request is in progress.
     *
     * @param cause the cause
     */
    private void loseResponse(LossCause cause) {
        ResponseListener lost = listener;
        listener = null;
        headMemory.release();
        channel.close();
        if (lost != null) {
            lost.onLost(cause);
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        failed = true;
        if (!(cause instanceof IOException)) {
            pool.logUnexpectedError(cause);
        }
        context.close();
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        pool.onClosed(this);
        if (!confirmingEnd) {
            loseResponse(headReceived ? LossCause.CUT : failed ? LossCause.RESET : LossCause.CLOSED);
        }
    }
}
