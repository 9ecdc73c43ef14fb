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

/** One connection of a caller; serves its requests one after the other and notices when the caller goes. */
final class CallerConnection extends ChannelInboundHandlerAdapter {

    /** Messages of further requests that are kept while one is served. */
    private static final int MAX_PIPELINED_MESSAGES = 64;

    /** Time for which a refused sender is still read, so that it can read the refusal, in milliseconds. */
    private static final long LINGER_MS = 300;

    /** Milliseconds in a second. */
    private static final double MILLIS_PER_SECOND = 1_000;

    /** Writes the bodies of errors. */
    private static final ObjectMapper MAPPER = new ObjectMapper();

    /** The server. */
    private final CallerServer server;

    /** What arrived while a request was served. */
    private final Queue<Object> pipelined = new ArrayDeque<>();

    /** What the connection waits for. */
    private Stage stage = Stage.IDLE;

    /** The channel. */
    private ChannelHandlerContext context;

    /** Head of the request that is read. */
    private HttpRequest head;

    /** Body of the request that is read. */
    private ByteArrayOutputStream body;

    /** Time at which the head was whole. */
    private long headAt;

    /** Time since which the connection waits for bytes. */
    private long waitsSince;

    /** The request that is served, or null. */
    private Exchange exchange;

    /** What a connection waits for. */
    private enum Stage {
        /** The next request. */
        IDLE,
        /** The rest of a head. */
        HEAD,
        /** The rest of a body. */
        BODY,
        /** The answer. */
        ANSWER,
        /** Nothing, it is being closed. */
        CLOSING
    }

    /**
     * Creates a connection.
     *
     * @param server the server
     */
    CallerConnection(CallerServer server) {
        this.server = server;
        this.waitsSince = GatewayClock.now();
    }

    /** Hears of bytes before they are decoded. */
    final class ArrivalWatch extends ChannelInboundHandlerAdapter {

        @Override
        public void channelRead(ChannelHandlerContext arrival, Object message) {
            if (stage == Stage.IDLE) {
                stage = Stage.HEAD;
                waitsSince = GatewayClock.now();
            } else if (stage == Stage.BODY) {
                waitsSince = GatewayClock.now();
            }
            arrival.fireChannelRead(message);
        }
    }

    @Override
    public void channelActive(ChannelHandlerContext active) {
        context = active;
        server.opened(this);
        active.fireChannelActive();
    }

    @Override
    public void channelInactive(ChannelHandlerContext inactive) {
        server.closed(this);
        pipelined.forEach(ReferenceCountUtil::release);
        pipelined.clear();
        Exchange gone = exchange;
        exchange = null;
        stage = Stage.CLOSING;
        if (gone != null) {
            gone.listener.onDisconnect();
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext failed, Throwable cause) {
        if (!(cause instanceof IOException)) {
            server.failed(cause);
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
        } else if (stage == Stage.ANSWER) {
            pipelined.add(message);
            if (pipelined.size() > MAX_PIPELINED_MESSAGES) {
                reading.channel().config().setAutoRead(false);
            }
        } else {
            take(message);
        }
    }

    /**
     * Takes a decoded message.
     *
     * @param message the message
     */
    private void take(Object message) {
        try {
            if (message instanceof HttpRequest request) {
                takeHead(request);
            }
            if (message instanceof HttpContent content && stage != Stage.CLOSING && head != null) {
                takeBody(content);
            }
        } finally {
            ReferenceCountUtil.release(message);
        }
    }

    /**
     * Takes the head of a request.
     *
     * @param request the head
     */
    private void takeHead(HttpRequest request) {
        if (request.decoderResult().isFailure()) {
            refuseMalformed(request.decoderResult().cause());
            return;
        }
        stage = Stage.BODY;
        head = request;
        headAt = GatewayClock.now();
        waitsSince = headAt;
        body = new ByteArrayOutputStream();
        if (HttpUtil.getContentLength(request, 0L) > server.limits().maximumBodyBytes()) {
            refuseAndClose(ErrorCode.TOO_LARGE, "The request body is over its bound.");
        } else if (HttpUtil.is100ContinueExpected(request)) {
            context.writeAndFlush(new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE));
        }
    }

    /**
     * Refuses what is not a request.
     *
     * @param cause what is wrong
     */
    private void refuseMalformed(Throwable cause) {
        if (cause instanceof TooLongHttpHeaderException || cause instanceof TooLongHttpLineException) {
            refuseAndClose(ErrorCode.HEADERS_TOO_LARGE, "The head of the request is over its bound.");
        } else {
            refuseAndClose(ErrorCode.INVALID_REQUEST, "The request is malformed.");
        }
    }

    /**
     * Takes a part of a body.
     *
     * @param content the part
     */
    private void takeBody(HttpContent content) {
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

    /** Serves the request that has been read. */
    private void serve() {
        stage = Stage.ANSWER;
        InboundRequest request =
                new InboundRequest(head.method(), head.uri(), head.headers(), body.toByteArray(), headAt);
        Exchange begun = new Exchange(HttpUtil.isKeepAlive(head), head.method().equals(HttpMethod.HEAD));
        exchange = begun;
        head = null;
        body = null;
        CallerRequestHandler.Listener listener = server.begin(request, begun);
        begun.listener = listener;
    }

    /**
     * Refuses what is being read and closes the connection.
     *
     * @param code code of the error
     * @param sentence what is wrong
     */
    private void refuseAndClose(ErrorCode code, String sentence) {
        head = null;
        body = null;
        exchange = new Exchange(false, false);
        stage = Stage.ANSWER;
        server.refused(code);
        exchange.refuse(Refusal.notRun(code, sentence));
    }

    /** Goes on after an answer. */
    private void nextRequest() {
        exchange = null;
        stage = Stage.IDLE;
        waitsSince = GatewayClock.now();
        while (stage != Stage.ANSWER && stage != Stage.CLOSING && !pipelined.isEmpty()) {
            take(pipelined.poll());
        }
        if (pipelined.isEmpty() && context.channel().isActive()) {
            context.channel().config().setAutoRead(true);
        }
    }

    /**
     * Enforces the times that a caller may take.
     *
     * @param limits the limits
     * @param now the present time
     */
    void enforce(CallerLimits limits, long now) {
        long waited = now - waitsSince;
        if (stage == Stage.HEAD && waited > limits.headerTimeoutMillis()
                || stage == Stage.BODY && waited > limits.idleTimeoutMillis()) {
            refuseAndClose(ErrorCode.REQUEST_TIMEOUT, "The request did not arrive in time.");
        } else if (stage == Stage.IDLE && waited > limits.idleTimeoutMillis()) {
            closeIdle();
        }
    }

    /**
     * Closes the connection if it has been idle for long.
     *
     * @param idleMillis the least time, in milliseconds
     * @param now the present time
     */
    void closeIfIdle(long idleMillis, long now) {
        if (stage == Stage.IDLE && now - waitsSince >= idleMillis) {
            closeIdle();
        }
    }

    /** Closes the connection between two requests. */
    private void closeIdle() {
        stage = Stage.CLOSING;
        context.close();
    }

    /** The answer to one request. */
    private final class Exchange implements Responder {

        /** Whether the caller wants to keep the connection. */
        private final boolean keepAlive;

        /** Whether the answer has no body whatever its head says. */
        private final boolean headOnly;

        /** Hears what the caller does. */
        private CallerRequestHandler.Listener listener = Gone.INSTANCE;

        /** Whether the connection is closed after the answer. */
        private boolean closes;

        /**
         * Begins an exchange.
         *
         * @param keepAlive whether the caller wants to keep the connection
         * @param headOnly whether the answer has no body whatever its head says
         */
        Exchange(boolean keepAlive, boolean headOnly) {
            this.keepAlive = keepAlive;
            this.headOnly = headOnly;
        }

        /**
         * Tells whether the exchange is still open.
         *
         * @return whether the answer is not complete and the caller is there
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
            } else {
                HttpUtil.setTransferEncodingChunked(response, true);
            }
            if (closes) {
                headers.set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
            }
            context.write(response);
            context.flush();
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
                closeGently(written);
            } else {
                nextRequest();
            }
        }

        /**
         * Closes the connection after what was written, and reads on for a moment: closing with unread bytes would
         * reset it and could destroy the answer.
         *
         * @param written the last write
         */
        private void closeGently(io.netty.channel.ChannelFuture written) {
            exchange = null;
            stage = Stage.CLOSING;
            ChannelHandlerContext closing = context;
            written.addListener(
                    done -> closing.executor().schedule(() -> closing.close(), LINGER_MS, TimeUnit.MILLISECONDS));
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
            byte[] text = describe(refusal);
            HttpHeaders headers = new DefaultHttpHeaders();
            headers.set(HttpHeaderNames.CONTENT_TYPE, HttpHeaderValues.APPLICATION_JSON);
            refusal.retryAfter()
                    .ifPresent(delay -> headers.set(
                            HttpHeaderNames.RETRY_AFTER, String.valueOf(delay.toMillis() / MILLIS_PER_SECOND)));
            head(HttpResponseStatus.valueOf(refusal.code().status()), headers, text.length);
            content(Unpooled.wrappedBuffer(text));
            end();
        }

        /**
         * Writes the body of an error.
         *
         * @param refusal the error
         * @return JSON
         */
        private static byte[] describe(Refusal refusal) {
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
    }

    /** Listener of an exchange that nobody serves. */
    private enum Gone implements CallerRequestHandler.Listener {
        /** The only instance. */
        INSTANCE;

        @Override
        public void onDisconnect() {
            // There is no work to cancel.
        }

        @Override
        public void onWritable() {
            // There is nothing more to send.
        }
    }
}
