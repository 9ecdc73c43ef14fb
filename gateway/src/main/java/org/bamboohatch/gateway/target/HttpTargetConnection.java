package org.bamboohatch.gateway.target;

import java.io.IOException;

import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import org.bamboohatch.gateway.GatewayClock;

/** A connection to a target, used for one request at a time. */
public final class HttpTargetConnection extends ChannelInboundHandlerAdapter {

    /** Field in which a target tells for how long it keeps an idle connection. */
    private static final String KEEP_ALIVE = "Keep-Alive";

    /** Name of that time in the field. */
    private static final String KEEP_ALIVE_TIMEOUT = "timeout=";

    /** Milliseconds in a second. */
    private static final long MILLIS_PER_SECOND = 1_000;

    /** Name of the header field with the request's id. */
    private final String requestIdField;

    /** Where the target is. */
    private final TargetAddress address;

    /** Takes the connection back after an answer. */
    private final TargetConnectionPool pool;

    /** The channel. */
    private Channel channel;

    /** Hears the answer of the request under way, or null. */
    private ResponseListener listener;

    /** Id of the request under way. */
    private String expectedId;

    /** The last write of the request under way. */
    private ChannelFuture written;

    /** Whether the answer that arrives belongs to an earlier request. */
    private boolean skipping;

    /** Whether the connection can carry another request after the answer. */
    private boolean reusable;

    /** Whether the head of the answer has arrived. */
    private boolean answering;

    /** Whether the connection carried a request before the one under way. */
    private boolean used;

    /** Whether the connection was broken rather than closed. */
    private boolean broken;

    /** Time for which the target keeps the connection when idle, in milliseconds, zero if not told. */
    private long keepAliveMillis;

    /** Time since which the connection is idle. */
    private long idleSince;

    /**
     * Creates a connection.
     *
     * @param address where the target is
     * @param requestIdField name of the header field with the request's id
     * @param pool takes the connection back after an answer
     */
    HttpTargetConnection(TargetAddress address, String requestIdField, TargetConnectionPool pool) {
        this.address = address;
        this.requestIdField = requestIdField;
        this.pool = pool;
    }

    /**
     * Returns where the target is.
     *
     * @return the address
     */
    TargetAddress address() {
        return address;
    }

    /**
     * Returns the time since which the connection is idle.
     *
     * @return the time in milliseconds
     */
    long idleSince() {
        return idleSince;
    }

    /**
     * Begins the time for which the connection is idle.
     *
     * @param now the present time
     */
    void setIdleSince(long now) {
        idleSince = now;
    }

    /**
     * Returns the time for which the target keeps an idle connection.
     *
     * @return the time in milliseconds, zero if the target did not tell
     */
    long keepAliveMillis() {
        return keepAliveMillis;
    }

    /**
     * Sends a request.
     *
     * @param method the method
     * @param uri path and query
     * @param headers the header fields
     * @param body the body
     * @param answers hears the answer
     */
    public void send(HttpMethod method, String uri, HttpHeaders headers, byte[] body, ResponseListener answers) {
        used = written != null;
        listener = answers;
        expectedId = headers.get(requestIdField);
        skipping = false;
        answering = false;
        reusable = false;
        FullHttpRequest request = new DefaultFullHttpRequest(
                HttpVersion.HTTP_1_1,
                method,
                uri,
                Unpooled.wrappedBuffer(body),
                headers,
                io.netty.handler.codec.http.EmptyHttpHeaders.INSTANCE);
        written = channel.writeAndFlush(request);
    }

    /** Gives up the request under way; the target sees the connection close. */
    public void cancel() {
        listener = null;
        channel.close();
    }

    /**
     * Reads on, or waits until the caller has taken what was read.
     *
     * @param readable whether to read
     */
    public void setAutoRead(boolean readable) {
        channel.config().setAutoRead(readable);
    }

    /** Closes the connection. */
    void close() {
        channel.close();
    }

    /**
     * Tells whether the connection is open.
     *
     * @return whether it is
     */
    boolean isOpen() {
        return channel.isActive();
    }

    @Override
    public void handlerAdded(ChannelHandlerContext context) {
        channel = context.channel();
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        try {
            if (listener == null) {
                context.close();
                return;
            }
            if (message instanceof HttpResponse response) {
                takeHead(response);
            }
            if (message instanceof HttpContent content && listener != null) {
                takeContent(content);
            }
        } finally {
            ReferenceCountUtil.release(message);
        }
    }

    /**
     * Takes the head of an answer.
     *
     * @param response the head
     */
    private void takeHead(HttpResponse response) {
        if (response.decoderResult().isFailure()) {
            lose("malformed answer");
            return;
        }
        String id = response.headers().get(requestIdField);
        skipping = isForeign(id) || response.status().codeClass() == HttpStatusClass.INFORMATIONAL;
        if (skipping) {
            return;
        }
        answering = true;
        boolean framed = HttpUtil.isContentLengthSet(response) || HttpUtil.isTransferEncodingChunked(response);
        reusable = framed && HttpUtil.isKeepAlive(response);
        keepAliveMillis = keepAlive(response.headers());
        listener.onHead(response);
    }

    /**
     * Tells whether an answer belongs to an earlier request. One without an id can only be told to be the right one if
     * it is the first of the connection; the answer to an order, which has no id either, is the one without an id.
     *
     * @param id id that the answer repeats, or null
     * @return whether it is not the answer to the request under way
     */
    private boolean isForeign(String id) {
        if (expectedId == null) {
            return id != null;
        }
        return id == null ? used : !id.equals(expectedId);
    }

    /**
     * Reads for how long the target keeps an idle connection.
     *
     * @param headers header fields of an answer
     * @return the time in milliseconds, zero if it is not told
     */
    private static long keepAlive(HttpHeaders headers) {
        String value = headers.get(KEEP_ALIVE);
        int position = value == null ? -1 : value.indexOf(KEEP_ALIVE_TIMEOUT);
        if (position < 0) {
            return 0;
        }
        String digits = value.substring(position + KEEP_ALIVE_TIMEOUT.length()).replaceAll("[^0-9].*", "");
        return digits.isEmpty() || digits.length() > 6 ? 0 : Long.parseLong(digits) * MILLIS_PER_SECOND;
    }

    /**
     * Takes a part of an answer's body.
     *
     * @param content the part
     */
    private void takeContent(HttpContent content) {
        boolean last = content instanceof LastHttpContent;
        if (skipping) {
            skipping = !last;
            return;
        }
        if (content.decoderResult().isFailure()) {
            lose("malformed answer");
            return;
        }
        if (last && broken) {
            lose("reset");
            return;
        }
        if (content.content().isReadable()) {
            listener.onContent(content.content());
        }
        if (last && listener != null) {
            finish();
        }
    }

    /** Ends the exchange after a complete answer. */
    private void finish() {
        ResponseListener ended = listener;
        listener = null;
        channel.config().setAutoRead(true);
        if (reusable && written.isDone() && channel.isActive()) {
            idleSince = GatewayClock.now();
            pool.release(this);
        } else {
            channel.close();
        }
        ended.onEnd();
    }

    /**
     * Ends the exchange without a complete answer.
     *
     * @param reason why
     */
    private void lose(String reason) {
        ResponseListener lost = listener;
        listener = null;
        channel.close();
        if (lost != null) {
            lost.onLost(reason);
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        broken = true;
        if (!(cause instanceof IOException)) {
            pool.failed(cause);
        }
        context.close();
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        pool.closed(this);
        lose(answering ? "cut within the answer" : broken ? "reset" : "closed");
    }
}
