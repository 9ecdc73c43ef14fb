package org.bamboohatch.gateway.target;

import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.HttpClientCodec;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.bamboohatch.protocol.transport.Network;

/** Connections to targets; used on the thread of all callers only. */
public final class TargetConnectionPool {

    /** Logger of this part. */
    private static final Logger LOGGER = LogManager.getLogger(TargetConnectionPool.class);

    /** Longest first line of an answer, in bytes. */
    private static final int MAX_LINE_BYTES = 8 * 1024;

    /** Largest head of an answer, in bytes. */
    private static final int MAX_HEADER_BYTES = 64 * 1024;

    /** Largest part of an answer that is handed on at once, in bytes. */
    private static final int MAX_PART_BYTES = 64 * 1024;

    /** Age up to which an idle connection is used if the target does not tell how long it keeps one, in milliseconds. */
    private static final long DEFAULT_IDLE_MS = 3_000;

    /** Part of the told time up to which an idle connection is used: the rest covers delays on the way. */
    private static final double IDLE_SHARE = 0.6;

    /** Part of the told time for requests that must not be repeated. */
    private static final double CAREFUL_IDLE_SHARE = 0.3;

    /** The thread of all callers. */
    private final EventLoop loop;

    /** Name of the header field with a request's id. */
    private final String requestIdField;

    /** The idle connections, the one used last in front. */
    private final Map<TargetAddress, Deque<HttpTargetConnection>> idle = new HashMap<>();

    /**
     * Creates an empty pool.
     *
     * @param loop the thread of all callers
     * @param requestIdField name of the header field with a request's id
     */
    public TargetConnectionPool(EventLoop loop, String requestIdField) {
        this.loop = loop;
        this.requestIdField = requestIdField;
    }

    /**
     * Takes an idle connection or opens one.
     *
     * @param address where the target is
     * @param careful whether the request must not be repeated, so that only connections just used are taken
     * @param connectMillis time for opening a connection, in milliseconds
     * @param now the present time
     * @param taken takes the connection, or null if none could be opened
     */
    public void acquire(
            TargetAddress address, boolean careful, int connectMillis, long now, Consumer<HttpTargetConnection> taken) {
        Deque<HttpTargetConnection> connections = idle.getOrDefault(address, new ArrayDeque<>());
        while (!connections.isEmpty()) {
            HttpTargetConnection connection = connections.pop();
            if (connection.isOpen() && now - connection.idleSince() < idleLimit(connection, careful)) {
                taken.accept(connection);
                return;
            }
            connection.close();
        }
        open(address, connectMillis, taken);
    }

    /**
     * Tells how long a connection may have been idle to be used.
     *
     * @param connection the connection
     * @param careful whether the request must not be repeated
     * @return the time in milliseconds
     */
    private static long idleLimit(HttpTargetConnection connection, boolean careful) {
        long told = connection.keepAliveMillis() == 0 ? DEFAULT_IDLE_MS : connection.keepAliveMillis();
        return (long) (told * (careful ? CAREFUL_IDLE_SHARE : IDLE_SHARE));
    }

    /**
     * Opens a connection.
     *
     * @param address where the target is
     * @param connectMillis time for opening it, in milliseconds
     * @param taken takes the connection, or null if none could be opened
     */
    private void open(TargetAddress address, int connectMillis, Consumer<HttpTargetConnection> taken) {
        HttpTargetConnection connection = new HttpTargetConnection(address, requestIdField, this);
        Bootstrap bootstrap = new Bootstrap();
        bootstrap.group(loop);
        bootstrap.channel(NioSocketChannel.class);
        bootstrap.option(ChannelOption.TCP_NODELAY, true);
        bootstrap.option(ChannelOption.CONNECT_TIMEOUT_MILLIS, connectMillis);
        bootstrap.handler(new ChannelInitializer<Channel>() {
            @Override
            protected void initChannel(Channel channel) {
                channel.pipeline().addLast(new HttpClientCodec(MAX_LINE_BYTES, MAX_HEADER_BYTES, MAX_PART_BYTES));
                channel.pipeline().addLast(connection);
            }
        });
        InetSocketAddress remote = Network.parse(address.address());
        ChannelFuture connecting = bootstrap.connect(remote);
        connecting.addListener(done -> taken.accept(done.isSuccess() ? connection : null));
    }

    /**
     * Takes a connection back after an answer.
     *
     * @param connection the connection
     */
    void release(HttpTargetConnection connection) {
        idle.computeIfAbsent(connection.address(), address -> new ArrayDeque<>())
                .push(connection);
    }

    /**
     * Takes back a connection that was not used after all.
     *
     * @param connection the connection
     * @param now the present time
     */
    public void returnUnused(HttpTargetConnection connection, long now) {
        connection.setIdleSince(now);
        release(connection);
    }

    /**
     * Takes note of a closed connection.
     *
     * @param connection the connection
     */
    void closed(HttpTargetConnection connection) {
        Deque<HttpTargetConnection> connections = idle.get(connection.address());
        if (connections != null) {
            connections.remove(connection);
        }
    }

    /**
     * Takes note of a defect.
     *
     * @param cause the defect
     */
    void failed(Throwable cause) {
        LOGGER.warn("target: closes a connection: {}", cause.toString());
    }

    /**
     * Closes the idle connections of targets that take no more work and those that have been idle for long.
     *
     * @param present the targets that take work
     * @param now the present time
     */
    public void retain(Set<TargetAddress> present, long now) {
        for (Iterator<Map.Entry<TargetAddress, Deque<HttpTargetConnection>>> pools =
                        idle.entrySet().iterator();
                pools.hasNext(); ) {
            Map.Entry<TargetAddress, Deque<HttpTargetConnection>> pool = pools.next();
            boolean gone = !present.contains(pool.getKey());
            List.copyOf(pool.getValue()).stream()
                    .filter(connection -> gone || now - connection.idleSince() > idleLimit(connection, false))
                    .forEach(HttpTargetConnection::close);
            if (gone) {
                pools.remove();
            }
        }
    }
}
