package org.bamboohatch.gateway.http;

import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.function.BooleanSupplier;

import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import org.bamboohatch.kernel.service.Service;

/** Answers whether the gateway is ready, and its metrics. */
public final class ReadinessServer implements Service {

    /** Largest question, in bytes. */
    private static final int MAX_QUESTION_BYTES = 8 * 1024;

    /** Address to listen on. */
    private final InetSocketAddress address;

    /** The thread of all callers. */
    private final EventLoop loop;

    /** Tells whether the gateway is ready. */
    private final BooleanSupplier ready;

    /** The metrics. */
    private final PrometheusMeterRegistry metrics;

    /** The listener. */
    private Channel listener;

    /**
     * Creates a server.
     *
     * @param address address to listen on
     * @param loop the thread of all callers
     * @param ready tells whether the gateway is ready
     * @param metrics the metrics
     */
    public ReadinessServer(
            InetSocketAddress address, EventLoop loop, BooleanSupplier ready, PrometheusMeterRegistry metrics) {
        this.address = address;
        this.loop = loop;
        this.ready = ready;
        this.metrics = metrics;
    }

    @Override
    public void start() {
        ServerBootstrap bootstrap = new ServerBootstrap();
        bootstrap.group(loop);
        bootstrap.channel(NioServerSocketChannel.class);
        bootstrap.option(ChannelOption.SO_REUSEADDR, true);
        bootstrap.childHandler(new ChannelInitializer<Channel>() {
            @Override
            protected void initChannel(Channel channel) {
                channel.pipeline().addLast(new HttpServerCodec());
                channel.pipeline().addLast(new HttpObjectAggregator(MAX_QUESTION_BYTES));
                channel.pipeline().addLast(new Answers());
            }
        });
        listener = bootstrap.bind(address).syncUninterruptibly().channel();
    }

    @Override
    public void stop() {
        listener.close().awaitUninterruptibly();
    }

    /** Answers questions. */
    private final class Answers extends SimpleChannelInboundHandler<FullHttpRequest> {

        @Override
        protected void channelRead0(ChannelHandlerContext context, FullHttpRequest question) {
            boolean isReady = ready.getAsBoolean();
            switch (question.uri()) {
                case "/healthz" -> answer(context, question, HttpResponseStatus.OK, "alive");
                case "/readyz" ->
                    answer(
                            context,
                            question,
                            isReady ? HttpResponseStatus.OK : HttpResponseStatus.SERVICE_UNAVAILABLE,
                            isReady ? "ready" : "not ready");
                case "/metrics" -> answer(context, question, HttpResponseStatus.OK, metrics.scrape());
                default -> answer(context, question, HttpResponseStatus.NOT_FOUND, "");
            }
        }

        /**
         * Answers a question.
         *
         * @param context the channel
         * @param question the question
         * @param status the status
         * @param text the body
         */
        private void answer(
                ChannelHandlerContext context, FullHttpRequest question, HttpResponseStatus status, String text) {
            DefaultFullHttpResponse response = new DefaultFullHttpResponse(
                    HttpVersion.HTTP_1_1, status, Unpooled.wrappedBuffer(text.getBytes(StandardCharsets.UTF_8)));
            HttpUtil.setContentLength(response, response.content().readableBytes());
            response.headers().set(HttpHeaderNames.CONTENT_TYPE, "text/plain; charset=utf-8");
            HttpUtil.setKeepAlive(response, HttpUtil.isKeepAlive(question));
            var written = context.writeAndFlush(response);
            if (!HttpUtil.isKeepAlive(question)) {
                written.addListener(ChannelFutureListener.CLOSE);
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            context.close();
        }
    }
}
