package org.bamboohatch.protocol.transport;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.timeout.ReadTimeoutException;
import io.netty.handler.timeout.ReadTimeoutHandler;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.bamboohatch.protocol.message.ConnectionMessage;
import org.bamboohatch.protocol.message.Frame;
import org.bamboohatch.protocol.message.Message;

/** Client side of a connection, which carries many concurrent streams of one request and its replies each. */
public final class Connection {

    private static final Logger LOGGER = LogManager.getLogger(Connection.class);

    private final Network network;

    /** Receives the status messages in the server's heartbeat replies. */
    private final Consumer<Message> statusListener;

    /** Listeners of the open streams by stream number. */
    private final Map<Long, StreamListener> listeners = new ConcurrentHashMap<>();

    /** The last stream number assigned. Stream zero is the connection itself. */
    private final AtomicLong lastStream = new AtomicLong();

    /**
     * Completes with the first heartbeat reply. The TCP connection alone is no proof that the server is alive, because
     * connections to a suspended process are accepted too.
     */
    private final CompletableFuture<Connection> opened = new CompletableFuture<>();

    /** The channel, or {@code null} until the TCP connection is established. */
    private volatile Channel channel;

    private volatile boolean closed;

    /**
     * Creates a connection that is not open yet.
     *
     * @param network network that provides the threads of the connection
     * @param statusListener receives the status messages in the server's heartbeat replies
     */
    private Connection(Network network, Consumer<Message> statusListener) {
        this.network = network;
        this.statusListener = statusListener;
    }

    /**
     * Opens a connection and starts its heartbeats.
     *
     * @param network network that provides the threads of the connection
     * @param address address of the server, host and port
     * @param statusListener receives the status messages in the server's heartbeat replies
     * @return completed with the connection when the server has replied to a heartbeat, exceptionally if it cannot be opened
     */
    static CompletableFuture<Connection> open(Network network, String address, Consumer<Message> statusListener) {
        Connection connection = new Connection(network, statusListener);
        Optional<InetSocketAddress> remote = Network.parseAnnounced(address);
        if (remote.isEmpty()) {
            connection.opened.completeExceptionally(new ConnectionLostException("malformed address " + address));
            return connection.opened;
        }
        Bootstrap bootstrap = new Bootstrap();
        bootstrap.group(network.group());
        bootstrap.channel(NioSocketChannel.class);
        bootstrap.option(ChannelOption.TCP_NODELAY, true);
        bootstrap.option(ChannelOption.CONNECT_TIMEOUT_MILLIS, Network.CONNECT_TIMEOUT_MS);
        bootstrap.handler(new ChannelInitializer<Channel>() {
            @Override
            protected void initChannel(Channel created) {
                created.pipeline().addLast(new ReadTimeoutHandler(Network.READ_TIMEOUT_MS, TimeUnit.MILLISECONDS));
                Pipeline.addTo(created.pipeline(), network.timeline());
                created.pipeline().addLast(connection.new Receiver());
            }
        });
        ChannelFuture connecting = bootstrap.connect(remote.get());
        connecting.addListener(done -> {
            if (done.isSuccess()) {
                connection.channel = connecting.channel();
                connection.startHeartbeats();
            } else {
                connection.opened.completeExceptionally(done.cause());
            }
        });
        return connection.opened;
    }

    /** Sends heartbeats until the connection ends, and closes it if the first reply does not arrive in time. */
    private void startHeartbeats() {
        channel.eventLoop()
                .schedule(
                        () -> {
                            if (!opened.isDone()) {
                                channel.close();
                            }
                        },
                        Network.CONNECT_TIMEOUT_MS,
                        TimeUnit.MILLISECONDS);
        channel.eventLoop()
                .scheduleAtFixedRate(
                        () -> send(0, new ConnectionMessage.Ping()),
                        0,
                        Network.PING_INTERVAL_MS,
                        TimeUnit.MILLISECONDS);
    }

    /**
     * Sends a request on a new stream.
     *
     * @param request the request to send
     * @param listener receives the replies; notified that the stream is lost if the connection is closed already
     */
    public void openStream(Message request, StreamListener listener) {
        long stream = lastStream.incrementAndGet();
        listeners.put(stream, listener);
        if (closed) {
            failStream(stream, "connection closed");
            return;
        }
        send(stream, request);
    }

    /**
     * Sends a request that has a single reply.
     *
     * @param request the request to send
     * @param timeout time after which the call fails
     * @return completed with the reply, or exceptionally with a {@link ConnectionLostException} or a
     *     {@link java.util.concurrent.TimeoutException}
     */
    public CompletableFuture<Message> call(Message request, Duration timeout) {
        CompletableFuture<Message> reply = new CompletableFuture<>();
        openStream(request, new StreamListener() {
            @Override
            public void onMessage(Message message, boolean end) {
                reply.complete(message);
            }

            @Override
            public void onLost(String reason) {
                reply.completeExceptionally(new ConnectionLostException(reason));
            }
        });
        return reply.orTimeout(timeout.toMillis(), TimeUnit.MILLISECONDS);
    }

    /**
     * Sends a message that has no reply.
     *
     * @param message the message to send
     */
    public void send(Message message) {
        send(0, message);
    }

    /**
     * Indicates whether the connection is usable.
     *
     * @return {@code true} until the connection has ended
     */
    public boolean isOpen() {
        return !closed;
    }

    /** Closes the connection, so that all open streams are lost. */
    public void close() {
        Channel current = channel;
        if (current != null) {
            current.close();
        }
    }

    /**
     * Sends a frame and closes the connection if that fails.
     *
     * @param stream number of the stream, or zero for the connection itself
     * @param message the message to send
     */
    private void send(long stream, Message message) {
        long time = network.timeline().stamp(System.currentTimeMillis());
        channel.writeAndFlush(new Frame(stream, false, time, message)).addListener(done -> {
            if (!done.isSuccess()) {
                channel.close();
            }
        });
    }

    private void failStream(long stream, String reason) {
        StreamListener listener = listeners.remove(stream);
        if (listener != null) {
            listener.onLost(reason);
        }
    }

    /** Dispatches received frames to the listeners of their streams. */
    private final class Receiver extends SimpleChannelInboundHandler<Frame> {

        @Override
        protected void channelRead0(ChannelHandlerContext context, Frame frame) {
            if (frame.body() instanceof ConnectionMessage.Pong pong) {
                opened.complete(Connection.this);
                if (pong.status() != null) {
                    statusListener.accept(pong.status());
                }
                return;
            }
            StreamListener listener = frame.end() ? listeners.remove(frame.stream()) : listeners.get(frame.stream());
            if (listener != null) {
                listener.onMessage(frame.body(), frame.end());
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            closed = true;
            opened.completeExceptionally(new ConnectionLostException("no sign of life"));
            for (Long stream : listeners.keySet()) {
                failStream(stream, "connection lost");
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            if (!(cause instanceof IOException) && !(cause instanceof ReadTimeoutException)) {
                LOGGER.warn(
                        "connection: closing connection to {} after an unexpected error",
                        context.channel().remoteAddress(),
                        cause);
            }
            context.close();
        }
    }

    /** Thrown if a connection ends before a reply is received, or cannot be opened. */
    public static final class ConnectionLostException extends RuntimeException {

        /**
         * Creates an exception for a lost connection.
         *
         * @param reason why the connection or the reply is lost
         */
        public ConnectionLostException(String reason) {
            super(reason);
        }
    }
}
