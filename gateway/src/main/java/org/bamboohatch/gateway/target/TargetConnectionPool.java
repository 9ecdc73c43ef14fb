package org.bamboohatch.gateway.target;

import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.Consumer;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.HttpResponse;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.bamboohatch.protocol.transport.Network;

/** Pool of connections to targets; confined to the callers' event loop. */
public final class TargetConnectionPool {

    private static final Logger LOGGER = LogManager.getLogger(TargetConnectionPool.class);

    /** Keep-alive time that is assumed of targets that do not report any, in milliseconds. */
    private static final long DEFAULT_KEEP_ALIVE_MS = 3_000;

    /** Fraction of the keep-alive time during which an idle connection is used; the rest covers network delays. */
    private static final double KEEP_ALIVE_FRACTION = 0.6;

    /** The same fraction for requests that must not be repeated. */
    private static final double NON_REPEATABLE_KEEP_ALIVE_FRACTION = 0.3;

    private final EventLoop loop;

    private final String requestIdField;

    /** Receives the heads of all responses. */
    private final ResponseObserver observer;

    /** Finds out whether targets still run. */
    private final TargetProbe probe;

    /** The idle connections by target, the most recently used first. */
    private final Map<TargetAddress, Deque<HttpTargetConnection>> idle = new HashMap<>();

    /**
     * Creates an empty pool.
     *
     * @param loop the event loop that serves all callers
     * @param requestIdField name of the header field with the id of a request
     * @param observer receives the heads of all responses, also of those that belong to no request in progress
     */
    public TargetConnectionPool(EventLoop loop, String requestIdField, ResponseObserver observer) {
        this.loop = loop;
        this.requestIdField = requestIdField;
        this.observer = observer;
        this.probe = new TargetProbe.ForConnections(this, loop, TargetProbe.ForConnections.SETTLING_MS);
    }

    /** Observes what targets report about themselves in their responses. */
    @FunctionalInterface
    public interface ResponseObserver {

        /**
         * Invoked when the head of a response has arrived.
         *
         * @param target address of the target
         * @param head status and header fields of the response
         * @param requestSentAt time at which the request was sent that the response answers, in milliseconds; empty if it
         *     answers a memory command, no request in progress, or precedes the final response
         */
        void onHead(TargetAddress target, HttpResponse head, OptionalLong requestSentAt);
    }

    void observe(TargetAddress target, HttpResponse head, OptionalLong requestSentAt) {
        observer.onHead(target, head, requestSentAt);
    }

    /**
     * Acquires an idle connection or opens one. A connection returns to the pool by itself at the end of a response if it
     * can be reused; one on which nothing was sent is to be {@linkplain #returnUnused(HttpTargetConnection, long) returned}.
     *
     * @param address address of the target
     * @param nonRepeatable whether the request must not be repeated; restricts reuse to recently used connections
     * @param identified whether the response repeats an id of the request; otherwise a late second response to an earlier
     *     request without an id could be taken for it, so connections that carried one are not used
     * @param connectTimeoutMillis timeout for opening a connection, in milliseconds
     * @param now current time, in milliseconds
     * @param onAcquired invoked with the connection, or with null if none could be opened
     */
    public void acquire(
            TargetAddress address,
            boolean nonRepeatable,
            boolean identified,
            int connectTimeoutMillis,
            long now,
            Consumer<HttpTargetConnection> onAcquired) {
        Iterator<HttpTargetConnection> connections =
                idle.getOrDefault(address, new ArrayDeque<>()).iterator();
        while (connections.hasNext()) {
            HttpTargetConnection connection = connections.next();
            if (!connection.isOpen() || now - connection.idleSince() >= maxIdleMillis(connection, nonRepeatable)) {
                connections.remove();
                connection.close();
            } else if (identified || !connection.carriedUnidentified()) {
                connections.remove();
                onAcquired.accept(connection);
                return;
            }
        }
        open(address, connectTimeoutMillis, onAcquired);
    }

    /**
     * Returns the maximum idle time of a connection that is still used.
     *
     * @param connection the idle connection
     * @param nonRepeatable whether it is to be used for a request that must not be repeated
     * @return the time in milliseconds
     */
    private static long maxIdleMillis(HttpTargetConnection connection, boolean nonRepeatable) {
        long keepAlive = connection.keepAliveMillis() == 0 ? DEFAULT_KEEP_ALIVE_MS : connection.keepAliveMillis();
        return (long) (keepAlive * (nonRepeatable ? NON_REPEATABLE_KEEP_ALIVE_FRACTION : KEEP_ALIVE_FRACTION));
    }

    private void open(TargetAddress address, int connectTimeoutMillis, Consumer<HttpTargetConnection> onOpened) {
        Optional<InetSocketAddress> remote = Network.parseAnnounced(address.address());
        if (remote.isEmpty()) {
            LOGGER.warn("target: {} has the malformed address {}", address.target(), address.address());
            onOpened.accept(null);
            return;
        }
        HttpTargetConnection connection = newConnection(address);
        connect(connection, remote.get(), connectTimeoutMillis)
                .addListener(done -> onOpened.accept(done.isSuccess() ? connection : null));
    }

    /**
     * Creates a connection whose channel is not open yet.
     *
     * @param address address of the target
     * @return the connection
     */
    HttpTargetConnection newConnection(TargetAddress address) {
        return new HttpTargetConnection(address, requestIdField, this, probe);
    }

    /**
     * Opens the channel of a connection.
     *
     * @param connection the connection
     * @param remote address to connect to
     * @param timeoutMillis timeout, in milliseconds
     * @return completed when the channel is open or has failed
     */
    ChannelFuture connect(HttpTargetConnection connection, InetSocketAddress remote, int timeoutMillis) {
        Bootstrap bootstrap = new Bootstrap();
        bootstrap.group(loop);
        bootstrap.channel(NioSocketChannel.class);
        bootstrap.option(ChannelOption.TCP_NODELAY, true);
        bootstrap.option(ChannelOption.CONNECT_TIMEOUT_MILLIS, timeoutMillis);
        bootstrap.handler(new ChannelInitializer<Channel>() {
            @Override
            protected void initChannel(Channel channel) {
                channel.pipeline().addLast(connection.new UnrelatedBytesLimit());
                channel.pipeline().addLast(new TargetCodec(requestIdField));
                channel.pipeline().addLast(connection);
            }
        });
        return bootstrap.connect(remote);
    }

    /**
     * Returns a connection to the pool after a response.
     *
     * @param connection the connection, whose idle time has begun
     */
    void release(HttpTargetConnection connection) {
        idle.computeIfAbsent(connection.address(), address -> new ArrayDeque<>())
                .push(connection);
    }

    /**
     * Returns a connection on which no request was sent.
     *
     * @param connection the connection that was acquired
     * @param now current time, in milliseconds
     */
    public void returnUnused(HttpTargetConnection connection, long now) {
        connection.setIdleSince(now);
        release(connection);
    }

    /**
     * Invoked when a connection was closed.
     *
     * @param connection the connection, idle or in use
     */
    void onClosed(HttpTargetConnection connection) {
        Deque<HttpTargetConnection> connections = idle.get(connection.address());
        if (connections != null) {
            connections.remove(connection);
        }
    }

    void logUnexpectedError(Throwable cause) {
        LOGGER.warn("target: connection closed after an unexpected error: {}", cause.toString());
    }

    /**
     * Closes the idle connections to targets that have left, and those that have been idle for too long to be used.
     *
     * @param present addresses of the targets that accept requests
     * @param now current time, in milliseconds
     */
    public void retain(Set<TargetAddress> present, long now) {
        for (Iterator<Map.Entry<TargetAddress, Deque<HttpTargetConnection>>> pools =
                        idle.entrySet().iterator();
                pools.hasNext(); ) {
            Map.Entry<TargetAddress, Deque<HttpTargetConnection>> pool = pools.next();
            boolean departed = !present.contains(pool.getKey());
            List.copyOf(pool.getValue()).stream()
                    .filter(connection -> departed || now - connection.idleSince() > maxIdleMillis(connection, false))
                    .forEach(HttpTargetConnection::close);
            if (departed) {
                pools.remove();
            }
        }
    }
}
