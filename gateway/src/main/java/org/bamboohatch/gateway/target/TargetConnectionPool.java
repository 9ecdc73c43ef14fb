package org.bamboohatch.gateway.target;

import java.net.InetSocketAddress;
import java.net.NoRouteToHostException;
import java.net.SocketException;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.ConnectTimeoutException;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpResponse;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.bamboohatch.protocol.transport.Network;

/** Pool of connections to targets; confined to the callers' event loop. */
public final class TargetConnectionPool {

    private static final Logger LOGGER = LogManager.getLogger(TargetConnectionPool.class);

    /** Maximum size of the status line of a response, in bytes. */
    private static final int MAX_STATUS_LINE_BYTES = 8 * 1024;

    private static final int MAX_HEADER_BYTES = 64 * 1024;

    /** Maximum size of a part of the body that is passed to a listener, in bytes. */
    private static final int MAX_PART_BYTES = 64 * 1024;

    /** Keep-alive time that is assumed of targets that do not report any, in milliseconds. */
    private static final long DEFAULT_KEEP_ALIVE_MS = 3_000;

    /** Timeout for the connection that shows whether a target still runs, in milliseconds. */
    private static final int PROBE_TIMEOUT_MS = 250;

    /** The usual settling time of a probe, in milliseconds. */
    private static final int PROBE_SETTLING_MS = 20;

    /** Fraction of the keep-alive time during which an idle connection is used; the rest covers network delays. */
    private static final double KEEP_ALIVE_FRACTION = 0.6;

    /** The same fraction for requests that must not be repeated. */
    private static final double NON_REPEATABLE_KEEP_ALIVE_FRACTION = 0.3;

    private final EventLoop loop;

    private final String requestIdField;

    /** Receives the heads of all responses. */
    private final ResponseObserver observer;

    /** Time for which the connection of a probe must stay open before it shows that the target runs, in milliseconds. */
    private final long probeSettlingMillis;

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
        this(loop, requestIdField, observer, PROBE_SETTLING_MS);
    }

    TargetConnectionPool(EventLoop loop, String requestIdField, ResponseObserver observer, long probeSettlingMillis) {
        this.loop = loop;
        this.requestIdField = requestIdField;
        this.observer = observer;
        this.probeSettlingMillis = probeSettlingMillis;
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

    /**
     * Probes a target with a connection that stays in the pool. The target has ended if its host refuses the connection, or
     * accepts and ends it, as it does while a process ends; a target that does not answer in time may be busy.
     *
     * @param address address of the target
     * @param now current time, in milliseconds
     * @param onResult invoked with {@code false} if the connection was refused or has ended
     */
    void probe(TargetAddress address, long now, Consumer<Boolean> onResult) {
        Optional<InetSocketAddress> remote = Network.parseAnnounced(address.address());
        if (remote.isEmpty()) {
            onResult.accept(true);
            return;
        }
        HttpTargetConnection connection = new HttpTargetConnection(address, requestIdField, this, this::probe);
        ChannelFuture connecting = connect(connection, remote.get(), PROBE_TIMEOUT_MS);
        connecting.addListener(done -> {
            if (!done.isSuccess()) {
                onResult.accept(!isRefusal(done.cause()));
                return;
            }
            Future<?> settling = loop.schedule(
                    () -> {
                        returnUnused(connection, now);
                        onResult.accept(true);
                    },
                    probeSettlingMillis,
                    TimeUnit.MILLISECONDS);
            connecting.channel().closeFuture().addListener(closed -> {
                if (settling.cancel(false)) {
                    onResult.accept(false);
                }
            });
        });
    }

    /**
     * Indicates whether a failure to connect comes from the host of a target. A listener that is closed while a connection is
     * established resets it.
     *
     * @param cause the failure
     * @return whether the host refused the connection or reset it
     */
    private static boolean isRefusal(Throwable cause) {
        return cause instanceof SocketException
                && !(cause instanceof ConnectTimeoutException)
                && !(cause instanceof NoRouteToHostException);
    }

    private void open(TargetAddress address, int connectTimeoutMillis, Consumer<HttpTargetConnection> onOpened) {
        Optional<InetSocketAddress> remote = Network.parseAnnounced(address.address());
        if (remote.isEmpty()) {
            LOGGER.warn("target: {} has the malformed address {}", address.target(), address.address());
            onOpened.accept(null);
            return;
        }
        HttpTargetConnection connection = new HttpTargetConnection(address, requestIdField, this, this::probe);
        connect(connection, remote.get(), connectTimeoutMillis)
                .addListener(done -> onOpened.accept(done.isSuccess() ? connection : null));
    }

    private ChannelFuture connect(HttpTargetConnection connection, InetSocketAddress remote, int timeoutMillis) {
        Bootstrap bootstrap = new Bootstrap();
        bootstrap.group(loop);
        bootstrap.channel(NioSocketChannel.class);
        bootstrap.option(ChannelOption.TCP_NODELAY, true);
        bootstrap.option(ChannelOption.CONNECT_TIMEOUT_MILLIS, timeoutMillis);
        bootstrap.handler(new ChannelInitializer<Channel>() {
            @Override
            protected void initChannel(Channel channel) {
                channel.pipeline().addLast(connection.new UnrelatedBytesLimit());
                channel.pipeline()
                        .addLast(new HttpClientCodec(MAX_STATUS_LINE_BYTES, MAX_HEADER_BYTES, MAX_PART_BYTES));
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
