package org.bamboohatch.gateway.http;

import java.net.InetSocketAddress;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.WriteBufferWaterMark;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.HttpResponseEncoder;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.bamboohatch.document.fleet.CallerLimits;
import org.bamboohatch.gateway.GatewayClock;
import org.bamboohatch.kernel.outcome.ErrorCode;
import org.bamboohatch.kernel.outcome.Refusal;
import org.bamboohatch.kernel.service.Service;

/**
 * Accepts the connections of callers. Uses Netty's HTTP codec because Jetty's server does not detect that a caller
 * disconnects while its request is in progress.
 */
public final class CallerServer implements Service {

    private static final Logger LOGGER = LogManager.getLogger(CallerServer.class);

    /** Interval at which the timeouts of callers are enforced, in milliseconds. */
    private static final long TIMEOUT_CHECK_INTERVAL_MS = 100;

    private static final int ACCEPT_BACKLOG = 1_024;

    /** Maximum number of reads from a connection before the next one gets its turn. */
    private static final int MAX_READS = 16;

    /** Unsent bytes to a caller above which reading from its target is suspended. */
    private static final int HIGH_WATER_BYTES = 256 * 1024;

    /** Unsent bytes to a caller below which reading from its target is resumed. */
    private static final int LOW_WATER_BYTES = 64 * 1024;

    private final InetSocketAddress address;

    /** The event loop that serves all callers. */
    private final EventLoop loop;

    private final CallerRequestHandler handler;

    /** Returns the current limits, which change with the configuration. */
    private final Supplier<CallerLimits> limits;

    /** The open connections; confined to the callers' event loop. */
    private final Set<CallerConnection> connections = new HashSet<>();

    /** The listening channel, null until the server is started. */
    private volatile Channel serverChannel;

    /** Whether responses ask callers to close their connections; confined to the callers' event loop. */
    private boolean stopping;

    /**
     * Creates a server that does not listen yet.
     *
     * @param address address to listen on
     * @param loop the event loop that serves all callers
     * @param handler handles the requests on the event loop
     * @param limits returns the current limits of callers
     */
    public CallerServer(
            InetSocketAddress address, EventLoop loop, CallerRequestHandler handler, Supplier<CallerLimits> limits) {
        this.address = address;
        this.loop = loop;
        this.handler = handler;
        this.limits = limits;
    }

    @Override
    public void start() {
        ServerBootstrap bootstrap = new ServerBootstrap();
        bootstrap.group(loop);
        bootstrap.channel(NioServerSocketChannel.class);
        bootstrap.option(ChannelOption.SO_REUSEADDR, true);
        bootstrap.option(ChannelOption.SO_BACKLOG, ACCEPT_BACKLOG);
        bootstrap.childOption(ChannelOption.TCP_NODELAY, true);
        bootstrap.childOption(
                ChannelOption.WRITE_BUFFER_WATER_MARK, new WriteBufferWaterMark(LOW_WATER_BYTES, HIGH_WATER_BYTES));
        // Reads until nothing is left, so that the end of a connection is seen together with the request before it.
        bootstrap.childOption(
                ChannelOption.RECVBUF_ALLOCATOR,
                new AdaptiveRecvByteBufAllocator().respectMaybeMoreData(false).maxMessagesPerRead(MAX_READS));
        bootstrap.childHandler(new ChannelInitializer<Channel>() {
            @Override
            protected void initChannel(Channel channel) {
                CallerConnection connection = new CallerConnection(CallerServer.this);
                channel.pipeline().addLast(connection.new ReadActivityHandler());
                channel.pipeline().addLast(new StrictRequestDecoder(limits().maximumHeaderBytes()));
                channel.pipeline().addLast(new HttpResponseEncoder());
                channel.pipeline().addLast(connection);
            }
        });
        serverChannel = bootstrap.bind(address).syncUninterruptibly().channel();
        loop.scheduleAtFixedRate(
                this::enforceTimeouts, TIMEOUT_CHECK_INTERVAL_MS, TIMEOUT_CHECK_INTERVAL_MS, TimeUnit.MILLISECONDS);
        LOGGER.info("callers: listening on {}", address);
    }

    @Override
    public void stop() {
        if (serverChannel != null) {
            serverChannel.close().awaitUninterruptibly();
        }
    }

    private void enforceTimeouts() {
        long now = GatewayClock.now();
        CallerLimits currentLimits = limits();
        List.copyOf(connections).forEach(connection -> connection.enforceTimeouts(currentLimits, now));
    }

    /** Accepts no more connections; open ones are still served. Must be called on the callers' event loop. */
    public void stopAccepting() {
        if (isAccepting()) {
            serverChannel.close();
        }
    }

    /**
     * Indicates whether connections are accepted.
     *
     * @return whether the server is started and listens
     */
    public boolean isAccepting() {
        return serverChannel != null && serverChannel.isOpen();
    }

    /** Makes all further responses ask callers to close their connections. Must be called on the callers' event loop. */
    public void beginStop() {
        stopping = true;
    }

    /**
     * Refuses the requests that are being received. Must be called on the callers' event loop.
     *
     * @param refusal error for their callers
     */
    public void refuseIncomplete(Refusal refusal) {
        List.copyOf(connections).forEach(connection -> connection.refuseIncomplete(refusal));
    }

    /**
     * Closes connections on which no request is in progress. Must be called on the callers' event loop.
     *
     * @param idleMillis minimum time for which a connection must have been idle, in milliseconds
     * @return number of connections that are still open
     */
    public int closeIdle(long idleMillis) {
        long now = GatewayClock.now();
        List.copyOf(connections).forEach(connection -> connection.closeIfIdle(idleMillis, now));
        return connections.size();
    }

    boolean isStopping() {
        return stopping;
    }

    CallerLimits limits() {
        return limits.get();
    }

    CallerRequestHandler.Listener begin(InboundRequest request, Responder responder) {
        return handler.begin(request, responder);
    }

    void onOpened(CallerConnection connection) {
        connections.add(connection);
    }

    void onClosed(CallerConnection connection) {
        connections.remove(connection);
    }

    /**
     * Logs that a request was rejected before it was complete.
     *
     * @param code code of the error that is sent to the caller
     */
    void logRejection(ErrorCode code) {
        LOGGER.debug("callers: request rejected: {}", code.wireName());
    }

    void logUnexpectedError(Throwable cause) {
        LOGGER.error("callers: connection closed after an unexpected error", cause);
    }
}
