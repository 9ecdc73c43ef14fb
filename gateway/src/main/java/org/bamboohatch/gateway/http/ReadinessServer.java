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

/** Serves {@code /healthz}, {@code /readyz} and {@code /metrics} of a gateway. */
public final class ReadinessServer implements Service {

    /** Maximum size of a request body, in bytes. */
    private static final int MAX_REQUEST_BYTES = 8 * 1024;

    private final InetSocketAddress address;

    private final EventLoop loop;

    private final BooleanSupplier ready;

    private final PrometheusMeterRegistry metrics;

    private Channel serverChannel;

    /**
     * Creates a server that does not listen yet.
     *
     * @param address address to listen on
     * @param loop the event loop that serves all callers
     * @param ready indicates whether the gateway is ready; queried for each request
     * @param metrics registry whose metrics are exposed in the Prometheus text format
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
                channel.pipeline().addLast(new HttpObjectAggregator(MAX_REQUEST_BYTES));
                channel.pipeline().addLast(new EndpointHandler());
            }
        });
        serverChannel = bootstrap.bind(address).syncUninterruptibly().channel();
    }

    @Override
    public void stop() {
        serverChannel.close().awaitUninterruptibly();
    }

    private final class EndpointHandler extends SimpleChannelInboundHandler<FullHttpRequest> {

        @Override
        protected void channelRead0(ChannelHandlerContext context, FullHttpRequest request) {
            boolean isReady = ready.getAsBoolean();
            switch (request.uri()) {
                case "/healthz" -> respond(context, request, HttpResponseStatus.OK, "alive");
                case "/readyz" ->
                    respond(
                            context,
                            request,
                            isReady ? HttpResponseStatus.OK : HttpResponseStatus.SERVICE_UNAVAILABLE,
                            isReady ? "ready" : "not ready");
                case "/metrics" -> respond(context, request, HttpResponseStatus.OK, metrics.scrape());
                default -> respond(context, request, HttpResponseStatus.NOT_FOUND, "");
            }
        }

        private void respond(
                ChannelHandlerContext context, FullHttpRequest request, HttpResponseStatus status, String text) {
            DefaultFullHttpResponse response = new DefaultFullHttpResponse(
                    HttpVersion.HTTP_1_1, status, Unpooled.wrappedBuffer(text.getBytes(StandardCharsets.UTF_8)));
            HttpUtil.setContentLength(response, response.content().readableBytes());
            response.headers().set(HttpHeaderNames.CONTENT_TYPE, "text/plain; charset=utf-8");
            HttpUtil.setKeepAlive(response, HttpUtil.isKeepAlive(request));
            var written = context.writeAndFlush(response);
            if (!HttpUtil.isKeepAlive(request)) {
                written.addListener(ChannelFutureListener.CLOSE);
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            context.close();
        }
    }
}
