package org.bamboohatch.gateway.http;

import java.net.InetSocketAddress;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

import io.netty.bootstrap.ServerBootstrap;
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
import org.bamboohatch.kernel.service.Service;

/** Listens for callers. Jetty's server does not notice a caller that goes while its request waits, so Netty's codec is used. */
public final class CallerServer implements Service {

    /** Logger of this part. */
    private static final Logger LOGGER = LogManager.getLogger(CallerServer.class);

    /** Interval at which the times of callers are enforced, in milliseconds. */
    private static final long ENFORCE_INTERVAL_MS = 100;

    /** Connections that may wait to be accepted. */
    private static final int ACCEPT_QUEUE = 1_024;

    /** Bytes under way to a caller above which its target is read no further. */
    private static final int HIGH_WATER_BYTES = 256 * 1024;

    /** Bytes under way to a caller below which its target is read again. */
    private static final int LOW_WATER_BYTES = 64 * 1024;

    /** Address to listen on. */
    private final InetSocketAddress address;

    /** The thread of all callers. */
    private final EventLoop loop;

    /** Takes the requests. */
    private final CallerRequestHandler exchanges;

    /** The limits in force. */
    private final Supplier<CallerLimits> limits;

    /** The open connections. */
    private final Set<CallerConnection> connections = new HashSet<>();

    /** The listener. */
    private Channel listener;

    /** Whether answers ask callers to close their connections. */
    private boolean stopping;

    /**
     * Creates a server.
     *
     * @param address address to listen on
     * @param loop the thread of all callers
     * @param exchanges takes the requests
     * @param limits the limits in force
     */
    public CallerServer(
            InetSocketAddress address, EventLoop loop, CallerRequestHandler exchanges, Supplier<CallerLimits> limits) {
        this.address = address;
        this.loop = loop;
        this.exchanges = exchanges;
        this.limits = limits;
    }

    @Override
    public void start() {
        ServerBootstrap bootstrap = new ServerBootstrap();
        bootstrap.group(loop);
        bootstrap.channel(NioServerSocketChannel.class);
        bootstrap.option(ChannelOption.SO_REUSEADDR, true);
        bootstrap.option(ChannelOption.SO_BACKLOG, ACCEPT_QUEUE);
        bootstrap.childOption(ChannelOption.TCP_NODELAY, true);
        bootstrap.childOption(
                ChannelOption.WRITE_BUFFER_WATER_MARK, new WriteBufferWaterMark(LOW_WATER_BYTES, HIGH_WATER_BYTES));
        bootstrap.childHandler(new ChannelInitializer<Channel>() {
            @Override
            protected void initChannel(Channel channel) {
                CallerConnection connection = new CallerConnection(CallerServer.this);
                channel.pipeline().addLast(connection.new ArrivalWatch());
                channel.pipeline().addLast(new StrictRequestDecoder(limits().maximumHeaderBytes()));
                channel.pipeline().addLast(new HttpResponseEncoder());
                channel.pipeline().addLast(connection);
            }
        });
        listener = bootstrap.bind(address).syncUninterruptibly().channel();
        loop.scheduleAtFixedRate(this::enforce, ENFORCE_INTERVAL_MS, ENFORCE_INTERVAL_MS, TimeUnit.MILLISECONDS);
        LOGGER.info("callers: listens on {}", address);
    }

    @Override
    public void stop() {
        listener.close().awaitUninterruptibly();
    }

    /** Enforces the times that callers may take. */
    private void enforce() {
        long now = GatewayClock.now();
        CallerLimits present = limits();
        List.copyOf(connections).forEach(connection -> connection.enforce(present, now));
    }

    /** Asks callers to close their connections; called on the thread of all callers. */
    public void beginStop() {
        stopping = true;
    }

    /**
     * Closes connections on which no request is under way; called on the thread of all callers.
     *
     * @param idleMillis least time for which a connection has been idle, in milliseconds
     * @return connections that are still open
     */
    public int closeIdle(long idleMillis) {
        long now = GatewayClock.now();
        List.copyOf(connections).forEach(connection -> connection.closeIfIdle(idleMillis, now));
        return connections.size();
    }

    /**
     * Tells whether the process is stopping.
     *
     * @return whether answers ask callers to close their connections
     */
    boolean isStopping() {
        return stopping;
    }

    /**
     * Returns the limits in force.
     *
     * @return the limits
     */
    CallerLimits limits() {
        return limits.get();
    }

    /**
     * Hands over a request.
     *
     * @param request the request
     * @param responder takes the answer
     * @return hears what the caller does
     */
    CallerRequestHandler.Listener begin(InboundRequest request, Responder responder) {
        return exchanges.begin(request, responder);
    }

    /**
     * Takes note of an open connection.
     *
     * @param connection the connection
     */
    void opened(CallerConnection connection) {
        connections.add(connection);
    }

    /**
     * Takes note of a closed connection.
     *
     * @param connection the connection
     */
    void closed(CallerConnection connection) {
        connections.remove(connection);
    }

    /**
     * Takes note of a request that could not be read.
     *
     * @param code what was wrong with it
     */
    void refused(ErrorCode code) {
        LOGGER.debug("callers: refuses a request: {}", code.wireName());
    }

    /**
     * Takes note of a defect.
     *
     * @param cause the defect
     */
    void failed(Throwable cause) {
        LOGGER.error("callers: closes a connection after a defect", cause);
    }
}
