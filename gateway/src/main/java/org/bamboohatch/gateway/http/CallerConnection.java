package org.bamboohatch.gateway.http;

import java.io.IOException;
import java.util.ArrayDeque;
import java.util.Queue;
import java.util.concurrent.TimeUnit;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOption;
import io.netty.channel.ChannelOutboundBuffer;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.handler.codec.http.TooLongHttpHeaderException;
import io.netty.handler.codec.http.TooLongHttpLineException;
import io.netty.util.ReferenceCountUtil;
import org.bamboohatch.document.fleet.CallerLimits;
import org.bamboohatch.gateway.GatewayClock;
import org.bamboohatch.gateway.buffer.BufferBudget;
import org.bamboohatch.kernel.outcome.ErrorCode;
import org.bamboohatch.kernel.outcome.Refusal;

/**
 * A connection of a caller. Serves its requests in sequence and detects that the caller disconnects; confined to the
 * callers' event loop.
 */
final class CallerConnection extends ChannelInboundHandlerAdapter {

    /** Queued messages of further requests above which reading is suspended while a request is in progress. */
    private static final int MAX_PIPELINED_MESSAGES = 64;

    /** Time for which input is still read before a connection is closed, so that the caller can read the response. */
    private static final long LINGER_MS = 300;

    /** Value of {@code SO_LINGER} with which a connection is reset when it is closed. */
    private static final int RESET_ON_CLOSE = 0;

    /** Value of {@code SO_LINGER} with which unsent bytes are sent after the connection is closed. */
    private static final int NO_RESET_ON_CLOSE = -1;

    private final CallerServer server;

    /** Messages that arrived while a request was in progress. */
    private final Queue<Object> pipelined = new ArrayDeque<>();

    /** Whether queued messages are being handled, each of which may complete a response before the next one is taken. */
    private boolean handlingPipelined;

    /** Parts of responses that the caller has not read yet. */
    private final BufferBudget.Holder unsent;

    private CallerStage stage = CallerStage.IDLE;

    private ChannelHandlerContext context;

    /** Head of the request that is being read, or null. */
    private HttpRequest head;

    /** Body of the request that is being read or in progress, or null. */
    private RequestBody body;

    /** Time at which the complete head had arrived, in milliseconds. */
    private long headReceivedAt;

    /** Time since which the connection waits for input, in milliseconds. */
    private long waitingSince;

    /** Size of the response that the caller has not read, as of the last check, in bytes. */
    private long lastUnsentBytes;

    /** The request in progress, or null. */
    private Exchange exchange;

    CallerConnection(CallerServer server) {
        this.server = server;
        this.unsent = server.buffers().responses().open();
        this.waitingSince = GatewayClock.now();
    }

    /** Records when bytes arrive; precedes the decoder in the pipeline. */
    final class ReadActivityHandler extends ChannelInboundHandlerAdapter {

        @Override
        public void channelRead(ChannelHandlerContext reading, Object message) {
            if (stage == CallerStage.IDLE) {
                stage = CallerStage.HEAD;
                waitingSince = GatewayClock.now();
            } else if (stage == CallerStage.BODY) {
                waitingSince = GatewayClock.now();
            }
            reading.fireChannelRead(message);
        }
    }

    @Override
    public void channelActive(ChannelHandlerContext active) {
        context = active;
        server.onOpened(this);
        active.fireChannelActive();
    }

    @Override
    public void channelInactive(ChannelHandlerContext inactive) {
        server.onClosed(this);
        releaseBody();
        pipelined.forEach(ReferenceCountUtil::release);
        pipelined.clear();
        Exchange interrupted = exchange;
        exchange = null;
        stage = CallerStage.CLOSING;
        if (interrupted != null) {
            interrupted.listener.onDisconnect();
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext failed, Throwable cause) {
        if (!(cause instanceof IOException)) {
            server.logUnexpectedError(cause);
        }
        failed.close();
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext changed) {
        if (exchange != null && exchange.isWritable()) {
            exchange.listener.onWritable();
        }
    }

    @Override
    public void channelRead(ChannelHandlerContext reading, Object message) {
        if (stage == CallerStage.CLOSING) {
            ReferenceCountUtil.release(message);
        } else if (stage == CallerStage.RESPONSE || stage == CallerStage.FLUSHING) {
            pipelined.add(message);
            if (pipelined.size() > MAX_PIPELINED_MESSAGES) {
                reading.channel().config().setAutoRead(false);
            }
        } else {
            handleMessage(message);
        }
    }

    private void handleMessage(Object message) {
        try {
            if (message instanceof HttpRequest request) {
                handleHead(request);
            }
            if (message instanceof HttpContent content && stage != CallerStage.CLOSING && head != null) {
                handleContent(content);
            }
        } finally {
            ReferenceCountUtil.release(message);
        }
    }

    private void handleHead(HttpRequest request) {
        if (request.decoderResult().isFailure()) {
            refuseMalformed(request.decoderResult().cause());
            return;
        }
        stage = CallerStage.BODY;
        head = request;
        headReceivedAt = GatewayClock.now();
        waitingSince = headReceivedAt;
        long declaredBytes = HttpUtil.getContentLength(request, 0L);
        body = new RequestBody(server.buffers().requests().open(), declaredBytes);
        if (declaredBytes > server.limits().maximumBodyBytes()) {
            refuseAndClose(ErrorCode.TOO_LARGE, "The request body is over its bound.");
        } else if (!body.fits()) {
            refuseAndClose(RequestBody.noRoom());
        } else if (HttpUtil.is100ContinueExpected(request)) {
            context.writeAndFlush(new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE));
        }
    }

    private void refuseMalformed(Throwable cause) {
        if (cause instanceof TooLongHttpHeaderException || cause instanceof TooLongHttpLineException) {
            refuseAndClose(ErrorCode.HEADERS_TOO_LARGE, "The head of the request is over its bound.");
        } else {
            refuseAndClose(ErrorCode.INVALID_REQUEST, "The request is malformed.");
        }
    }

    private void handleContent(HttpContent content) {
        if (content.decoderResult().isFailure()) {
            refuseMalformed(content.decoderResult().cause());
            return;
        }
        ByteBuf part = content.content();
        if (body.size() + part.readableBytes() > server.limits().maximumBodyBytes()) {
            refuseAndClose(ErrorCode.TOO_LARGE, "The request body is over its bound.");
            return;
        }
        body.append(part);
        if (!body.fits()) {
            refuseAndClose(RequestBody.noRoom());
        } else if (content instanceof LastHttpContent) {
            serve();
        }
    }

    /** Passes the complete request to the request handler. */
    private void serve() {
        stage = CallerStage.RESPONSE;
        InboundRequest request =
                new InboundRequest(head.method(), head.uri(), head.headers(), body.complete(), headReceivedAt);
        boolean chunksAllowed = head.protocolVersion().compareTo(HttpVersion.HTTP_1_1) >= 0;
        Exchange started = new Exchange(
                chunksAllowed && HttpUtil.isKeepAlive(head), head.method().equals(HttpMethod.HEAD), chunksAllowed);
        exchange = started;
        head = null;
        started.listener = server.begin(request, started);
    }

    /**
     * Refuses the request that is being read and closes the connection.
     *
     * @param code code of the error
     * @param message error message for the caller
     */
    private void refuseAndClose(ErrorCode code, String message) {
        refuseAndClose(Refusal.notRun(code, message));
    }

    private void refuseAndClose(Refusal refusal) {
        boolean headOnly = head != null && head.method().equals(HttpMethod.HEAD);
        head = null;
        exchange = new Exchange(false, headOnly, false);
        stage = CallerStage.RESPONSE;
        server.logRejection(refusal.code());
        exchange.refuse(refusal);
    }

    private void releaseBody() {
        if (body != null) {
            body.release();
            body = null;
        }
    }

    /**
     * Updates the size of the unsent parts.
     *
     * @param bytes size of a part that was sent, or dropped with the connection
     */
    private void onSent(int bytes) {
        unsent.add(-bytes);
        if (unsent.isEmpty() && exchange != null) {
            exchange.listener.onWritable();
        }
    }

    /** Continues with the queued messages after a response, and resumes reading if none is left. */
    private void beginNextRequest() {
        stage = CallerStage.IDLE;
        waitingSince = GatewayClock.now();
        if (!handlingPipelined) {
            handlingPipelined = true;
            try {
                handlePipelined();
            } finally {
                handlingPipelined = false;
            }
        }
    }

    private void handlePipelined() {
        while (stage.isReading() && !pipelined.isEmpty()) {
            handleMessage(pipelined.poll());
        }
        if (pipelined.isEmpty() && context.channel().isActive()) {
            context.channel().config().setAutoRead(true);
        }
    }

    /**
     * Refuses the request that is being read, or closes the idle connection, if the caller has exceeded a timeout.
     *
     * @param limits the current limits of callers
     * @param now current time, in milliseconds
     */
    void enforceTimeouts(CallerLimits limits, long now) {
        long waitedMillis = now - waitingSince;
        if (stage == CallerStage.HEAD && waitedMillis > limits.headerTimeoutMillis()
                || stage == CallerStage.BODY && waitedMillis > limits.idleTimeoutMillis()) {
            refuseAndClose(ErrorCode.REQUEST_TIMEOUT, "The request did not arrive in time.");
        } else if (stage == CallerStage.IDLE && waitedMillis > limits.idleTimeoutMillis()) {
            closeIdle();
        } else if (stage == CallerStage.FLUSHING) {
            enforceReading(limits, now);
        }
    }

    /**
     * Closes the connection if the caller reads no more of a response that has ended.
     *
     * @param limits the current limits of callers
     * @param now current time, in milliseconds
     */
    private void enforceReading(CallerLimits limits, long now) {
        ChannelOutboundBuffer unwritten = context.channel().unsafe().outboundBuffer();
        long unsentBytes = unwritten == null ? 0 : unwritten.totalPendingWriteBytes() - unwritten.currentProgress();
        if (unsentBytes != lastUnsentBytes) {
            lastUnsentBytes = unsentBytes;
            waitingSince = now;
        } else if (now - waitingSince > limits.idleTimeoutMillis()) {
            closeIdle();
        }
    }

    /**
     * Refuses the request that is being read, if any, and closes the connection.
     *
     * @param refusal error for the caller
     */
    void refuseIncomplete(Refusal refusal) {
        if (stage == CallerStage.HEAD || stage == CallerStage.BODY) {
            refuseAndClose(refusal);
        }
    }

    /**
     * Closes the connection if it has been idle for some time.
     *
     * @param idleMillis minimum idle time, in milliseconds
     * @param now current time, in milliseconds
     */
    void closeIfIdle(long idleMillis, long now) {
        if (stage == CallerStage.IDLE && now - waitingSince >= idleMillis) {
            closeIdle();
        }
    }

    private void closeIdle() {
        stage = CallerStage.CLOSING;
        context.close();
    }

    /** A request and its response. */
    private final class Exchange implements Responder {

        /** Whether the connection remains open for further requests; never with HTTP/1.0, where callers may not expect it. */
        private final boolean keepAlive;

        /** Whether the response has no body even if its head declares one, as for a HEAD request. */
        private final boolean headOnly;

        /** Whether the caller understands chunks; otherwise a body without a length ends with the connection. */
        private final boolean chunksAllowed;

        private CallerRequestHandler.Listener listener = CallerRequestHandler.Listener.Disabled.INSTANCE;

        /** Whether the connection is closed after the response. */
        private boolean closes;

        Exchange(boolean keepAlive, boolean headOnly, boolean chunksAllowed) {
            this.keepAlive = keepAlive;
            this.headOnly = headOnly;
            this.chunksAllowed = chunksAllowed;
        }

        /**
         * Indicates whether the response can still be sent.
         *
         * @return whether the response has not ended and the caller is connected
         */
        private boolean isOpen() {
            return exchange == this && context.channel().isActive();
        }

        @Override
        public void head(HttpResponseStatus status, HttpHeaders headers, long length) {
            if (!isOpen()) {
                return;
            }
            HttpResponse response = new DefaultHttpResponse(HttpVersion.HTTP_1_1, status, headers);
            closes = !keepAlive || server.isStopping();
            if (length >= 0) {
                HttpUtil.setContentLength(response, length);
            } else if (!headOnly && !status.equals(HttpResponseStatus.NOT_MODIFIED)) {
                beginUnknownLength(response);
            }
            if (closes) {
                headers.set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
            }
            context.write(response);
            context.flush();
        }

        /**
         * Lets the response show where its body ends. If that is the end of the connection, any end before the response is
         * complete resets the connection, so that the caller detects it.
         *
         * @param response head of the response
         */
        private void beginUnknownLength(HttpResponse response) {
            if (chunksAllowed) {
                HttpUtil.setTransferEncodingChunked(response, true);
            } else {
                context.channel().config().setOption(ChannelOption.SO_LINGER, RESET_ON_CLOSE);
            }
        }

        @Override
        public void content(ByteBuf part) {
            if (!isOpen() || headOnly || !part.isReadable()) {
                part.release();
                return;
            }
            int bytes = part.readableBytes();
            unsent.add(bytes);
            context.writeAndFlush(new DefaultHttpContent(part)).addListener(done -> onSent(bytes));
        }

        @Override
        public void end() {
            if (!isOpen()) {
                return;
            }
            exchange = null;
            releaseBody();
            stage = CallerStage.FLUSHING;
            waitingSince = GatewayClock.now();
            context.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT).addListener(written -> {
                if (written.isSuccess()) {
                    onFlushed();
                }
            });
        }

        /** Continues once the caller's connection has taken the whole response, so that responses do not pile up. */
        private void onFlushed() {
            if (stage == CallerStage.FLUSHING && closes) {
                closeAfterLinger();
            } else if (stage == CallerStage.FLUSHING) {
                beginNextRequest();
            }
        }

        /**
         * Closes the connection after some time. Input is still read meanwhile, because closing a connection
         * with unread input would reset it and could destroy the response before the caller has read it.
         */
        private void closeAfterLinger() {
            stage = CallerStage.CLOSING;
            context.channel().config().setOption(ChannelOption.SO_LINGER, NO_RESET_ON_CLOSE);
            context.executor().schedule(() -> context.close(), LINGER_MS, TimeUnit.MILLISECONDS);
        }

        @Override
        public void abort() {
            if (isOpen()) {
                exchange = null;
                releaseBody();
                stage = CallerStage.CLOSING;
                context.flush();
                context.close();
            }
        }

        @Override
        public void refuse(Refusal refusal) {
            if (!isOpen()) {
                return;
            }
            byte[] text = ErrorResponse.body(refusal);
            HttpResponseStatus status =
                    HttpResponseStatus.valueOf(refusal.code().status());
            head(status, ErrorResponse.headers(refusal), text.length);
            content(Unpooled.wrappedBuffer(text));
            end();
        }

        @Override
        public boolean isWritable() {
            return context.channel().isWritable() && !unsent.exceedsShare();
        }

        @Override
        public boolean isConnected() {
            return context.channel().isActive();
        }
    }
}
