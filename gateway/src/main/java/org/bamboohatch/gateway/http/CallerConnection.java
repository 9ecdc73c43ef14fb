package org.bamboohatch.gateway.http;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.Queue;
import java.util.concurrent.TimeUnit;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOption;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpHeaders;
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

    private static final double MILLIS_PER_SECOND = 1_000;

    private static final ObjectMapper MAPPER = new ObjectMapper();

    private final CallerServer server;

    /** Messages that arrived while a request was in progress. */
    private final Queue<Object> pipelined = new ArrayDeque<>();

    /** Whether queued messages are being handled, each of which may complete a response before the next one is taken. */
    private boolean handlingPipelined;

    private Stage stage = Stage.IDLE;

    private ChannelHandlerContext context;

    /** Head of the request that is being read, or null. */
    private HttpRequest head;

    /** Received part of the body of the request that is being read. */
    private ByteArrayOutputStream body;

    /** Time at which the complete head had arrived, in milliseconds. */
    private long headReceivedAt;

    /** Time since which the connection waits for input, in milliseconds. */
    private long waitingSince;

    /** The request in progress, or null. */
    private Exchange exchange;

    /** What a connection is waiting for. */
    private enum Stage {
        /** The next request. */
        IDLE,
        /** The rest of a head. */
        HEAD,
        /** The rest of a body. */
        BODY,
        /** The end of the response. */
        RESPONSE,
        /** Nothing, the connection is being closed. */
        CLOSING
    }

    CallerConnection(CallerServer server) {
        this.server = server;
        this.waitingSince = GatewayClock.now();
    }

    /** Records when bytes arrive; precedes the decoder in the pipeline. */
    final class ReadActivityHandler extends ChannelInboundHandlerAdapter {

        @Override
        public void channelRead(ChannelHandlerContext reading, Object message) {
            if (stage == Stage.IDLE) {
                stage = Stage.HEAD;
                waitingSince = GatewayClock.now();
            } else if (stage == Stage.BODY) {
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
        pipelined.forEach(ReferenceCountUtil::release);
        pipelined.clear();
        Exchange interrupted = exchange;
        exchange = null;
        stage = Stage.CLOSING;
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
        if (exchange != null && changed.channel().isWritable()) {
            exchange.listener.onWritable();
        }
    }

    @Override
    public void channelRead(ChannelHandlerContext reading, Object message) {
        if (stage == Stage.CLOSING) {
            ReferenceCountUtil.release(message);
        } else if (stage == Stage.RESPONSE) {
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
            if (message instanceof HttpContent content && stage != Stage.CLOSING && head != null) {
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
        stage = Stage.BODY;
        head = request;
        headReceivedAt = GatewayClock.now();
        waitingSince = headReceivedAt;
        body = new ByteArrayOutputStream();
        if (HttpUtil.getContentLength(request, 0L) > server.limits().maximumBodyBytes()) {
            refuseAndClose(ErrorCode.TOO_LARGE, "The request body is over its bound.");
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
        byte[] bytes = new byte[part.readableBytes()];
        part.readBytes(bytes);
        body.writeBytes(bytes);
        if (content instanceof LastHttpContent) {
            serve();
        }
    }

    /** Passes the complete request to the request handler. */
    private void serve() {
        stage = Stage.RESPONSE;
        InboundRequest request =
                new InboundRequest(head.method(), head.uri(), head.headers(), body.toByteArray(), headReceivedAt);
        boolean chunksAllowed = head.protocolVersion().compareTo(HttpVersion.HTTP_1_1) >= 0;
        Exchange started = new Exchange(
                chunksAllowed && HttpUtil.isKeepAlive(head), head.method().equals(HttpMethod.HEAD), chunksAllowed);
        exchange = started;
        head = null;
        body = null;
        CallerRequestHandler.Listener listener = server.begin(request, started);
        started.listener = listener;
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
        body = null;
        exchange = new Exchange(false, headOnly, false);
        stage = Stage.RESPONSE;
        server.logRejection(refusal.code());
        exchange.refuse(refusal);
    }

    /** Continues with the queued messages after a response, and resumes reading if none is left. */
    private void beginNextRequest() {
        exchange = null;
        stage = Stage.IDLE;
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
        while (stage != Stage.RESPONSE && stage != Stage.CLOSING && !pipelined.isEmpty()) {
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
        if (stage == Stage.HEAD && waitedMillis > limits.headerTimeoutMillis()
                || stage == Stage.BODY && waitedMillis > limits.idleTimeoutMillis()) {
            refuseAndClose(ErrorCode.REQUEST_TIMEOUT, "The request did not arrive in time.");
        } else if (stage == Stage.IDLE && waitedMillis > limits.idleTimeoutMillis()) {
            closeIdle();
        }
    }

    /**
     * Refuses the request that is being read, if any, and closes the connection.
     *
     * @param refusal error for the caller
     */
    void refuseIncomplete(Refusal refusal) {
        if (stage == Stage.HEAD || stage == Stage.BODY) {
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
        if (stage == Stage.IDLE && now - waitingSince >= idleMillis) {
            closeIdle();
        }
    }

    private void closeIdle() {
        stage = Stage.CLOSING;
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

        private CallerRequestHandler.Listener listener = NoOpListener.INSTANCE;

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
            context.writeAndFlush(new DefaultHttpContent(part));
        }

        @Override
        public void end() {
            if (!isOpen()) {
                return;
            }
            var written = context.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT);
            if (closes) {
                closeAfterLinger(written);
            } else {
                beginNextRequest();
            }
        }

        /**
         * Closes the connection some time after the last write. Input is still read meanwhile, because closing a connection
         * with unread input would reset it and could destroy the response before the caller has read it.
         *
         * @param written the last write
         */
        private void closeAfterLinger(io.netty.channel.ChannelFuture written) {
            exchange = null;
            stage = Stage.CLOSING;
            ChannelHandlerContext closing = context;
            written.addListener(done -> {
                if (done.isSuccess()) {
                    closing.channel().config().setOption(ChannelOption.SO_LINGER, NO_RESET_ON_CLOSE);
                }
                closing.executor().schedule(() -> closing.close(), LINGER_MS, TimeUnit.MILLISECONDS);
            });
        }

        @Override
        public void abort() {
            if (isOpen()) {
                exchange = null;
                stage = Stage.CLOSING;
                context.flush();
                context.close();
            }
        }

        @Override
        public void refuse(Refusal refusal) {
            if (!isOpen()) {
                return;
            }
            byte[] text = errorBody(refusal);
            HttpHeaders headers = new DefaultHttpHeaders();
            headers.set(HttpHeaderNames.CONTENT_TYPE, HttpHeaderValues.APPLICATION_JSON);
            refusal.retryAfter()
                    .ifPresent(delay -> headers.set(
                            HttpHeaderNames.RETRY_AFTER, String.valueOf(delay.toMillis() / MILLIS_PER_SECOND)));
            head(HttpResponseStatus.valueOf(refusal.code().status()), headers, text.length);
            content(Unpooled.wrappedBuffer(text));
            end();
        }

        private static byte[] errorBody(Refusal refusal) {
            ObjectNode error = MAPPER.createObjectNode();
            ObjectNode fields = error.putObject("error");
            fields.put("code", refusal.code().wireName());
            fields.put("message", refusal.sentence());
            fields.put("outcome", refusal.outcome().wireName());
            try {
                return MAPPER.writeValueAsString(error).getBytes(StandardCharsets.UTF_8);
            } catch (JsonProcessingException impossible) {
                throw new IllegalStateException(impossible);
            }
        }

        @Override
        public boolean isWritable() {
            return context.channel().isWritable();
        }

        @Override
        public boolean isConnected() {
            return context.channel().isActive();
        }
    }

    /** Listener of an exchange that was not passed to the request handler. */
    private enum NoOpListener implements CallerRequestHandler.Listener {
        INSTANCE;

        @Override
        public void onDisconnect() {
            // No work to cancel.
        }

        @Override
        public void onWritable() {
            // Nothing left to send.
        }
    }
}
