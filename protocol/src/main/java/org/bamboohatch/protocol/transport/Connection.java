package org.bamboohatch.protocol.transport;

import java.io.IOException;
import java.time.Duration;
import java.util.Map;
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

/** The client's side of one connection, with many exchanges at the same time. */
public final class Connection {

    /** Logger of this part. */
    private static final Logger LOGGER = LogManager.getLogger(Connection.class);

    /** The network threads. */
    private final Network network;

    /** Hears what the server tells with its signs of life. */
    private final Consumer<Message> statusListener;

    /** The listeners of the open exchanges by number. */
    private final Map<Long, StreamListener> listeners = new ConcurrentHashMap<>();

    /** The last exchange number given out; zero is the connection itself. */
    private final AtomicLong lastStream = new AtomicLong();

    /** Completes with the first sign of life; a peer that stands still accepts connections but does not answer. */
    private final CompletableFuture<Connection> opened = new CompletableFuture<>();

    /** The channel, set when the connection is open. */
    private volatile Channel channel;

    /** Whether the connection has ended. */
    private volatile boolean closed;

    /**
     * Creates a connection that is not open yet.
     *
     * @param network the network threads
     * @param statusListener hears what the server tells with its signs of life
     */
    private Connection(Network network, Consumer<Message> statusListener) {
        this.network = network;
        this.statusListener = statusListener;
    }

    /**
     * Opens a connection.
     *
     * @param network the network threads
     * @param address address of the server
     * @param statusListener hears what the server tells with its signs of life
     * @return the connection, when the server has given a sign of life
     */
    static CompletableFuture<Connection> open(Network network, String address, Consumer<Message> statusListener) {
        Connection connection = new Connection(network, statusListener);
        Bootstrap bootstrap = new Bootstrap();
        bootstrap.group(network.group());
        bootstrap.channel(NioSocketChannel.class);
        bootstrap.option(ChannelOption.TCP_NODELAY, true);
        bootstrap.option(ChannelOption.CONNECT_TIMEOUT_MILLIS, Network.CONNECT_TIMEOUT_MS);
        bootstrap.handler(new ChannelInitializer<Channel>() {
            @Override
            protected void initChannel(Channel created) {
                created.pipeline().addLast(new ReadTimeoutHandler(Network.SILENCE_LIMIT_MS, TimeUnit.MILLISECONDS));
                Pipeline.addTo(created.pipeline(), network.timeline());
                created.pipeline().addLast(connection.new Receiver());
            }
        });
        ChannelFuture connecting = bootstrap.connect(Network.parse(address));
        connecting.addListener(done -> {
            if (done.isSuccess()) {
                connection.channel = connecting.channel();
                connection.awaitFirstSign();
            } else {
                connection.opened.completeExceptionally(done.cause());
            }
        });
        return connection.opened;
    }

    /** Asks for signs of life until the connection ends, and closes it if the first one does not come in time. */
    private void awaitFirstSign() {
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
     * Begins an exchange.
     *
     * @param request the request
     * @param listener hears the replies
     */
    public void openStream(Message request, StreamListener listener) {
        long stream = lastStream.incrementAndGet();
        listeners.put(stream, listener);
        if (closed) {
            lose(stream, "connection closed");
            return;
        }
        send(stream, request);
    }

    /**
     * Sends a request and awaits its only reply.
     *
     * @param request the request
     * @param timeout the time to wait
     * @return the reply
     */
    public CompletableFuture<Message> call(Message request, Duration timeout) {
        CompletableFuture<Message> answer = new CompletableFuture<>();
        openStream(request, new StreamListener() {
            @Override
            public void onMessage(Message message, boolean end) {
                answer.complete(message);
            }

            @Override
            public void onLost(String reason) {
                answer.completeExceptionally(new ConnectionLostException(reason));
            }
        });
        return answer.orTimeout(timeout.toMillis(), TimeUnit.MILLISECONDS);
    }

    /**
     * Sends a message that has no reply.
     *
     * @param message the message
     */
    public void send(Message message) {
        send(0, message);
    }

    /**
     * Tells whether the connection is open.
     *
     * @return whether it is open
     */
    public boolean isOpen() {
        return !closed;
    }

    /** Closes the connection. */
    public void close() {
        Channel current = channel;
        if (current != null) {
            current.close();
        }
    }

    /**
     * Sends a frame.
     *
     * @param stream the number of the exchange
     * @param message the message
     */
    private void send(long stream, Message message) {
        long time = network.timeline().stamp(System.currentTimeMillis());
        channel.writeAndFlush(new Frame(stream, false, time, message)).addListener(done -> {
            if (!done.isSuccess()) {
                channel.close();
            }
        });
    }

    /**
     * Tells a listener that its exchange is lost.
     *
     * @param stream the number of the exchange
     * @param reason the reason
     */
    private void lose(long stream, String reason) {
        StreamListener listener = listeners.remove(stream);
        if (listener != null) {
            listener.onLost(reason);
        }
    }

    /** Receives the frames of the connection. */
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
                lose(stream, "connection lost");
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            if (!(cause instanceof IOException) && !(cause instanceof ReadTimeoutException)) {
                LOGGER.warn(
                        "connection: closes {} after a defect",
                        context.channel().remoteAddress(),
                        cause);
            }
            context.close();
        }
    }

    /** Thrown to callers whose exchange is lost with the connection. */
    public static final class ConnectionLostException extends RuntimeException {

        /**
         * Creates the exception.
         *
         * @param reason the reason
         */
        public ConnectionLostException(String reason) {
            super(reason);
        }
    }
}
