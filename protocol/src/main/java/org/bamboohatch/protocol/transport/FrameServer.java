package org.bamboohatch.protocol.transport;

import java.io.IOException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.timeout.ReadTimeoutException;
import io.netty.handler.timeout.ReadTimeoutHandler;
import io.netty.util.concurrent.GlobalEventExecutor;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.bamboohatch.kernel.service.Service;
import org.bamboohatch.protocol.message.ConnectionMessage;
import org.bamboohatch.protocol.message.Frame;
import org.bamboohatch.protocol.message.Message;

/** Accepts connections and hands their requests to a handler. */
public final class FrameServer implements Service {

    /** Logger of this part. */
    private static final Logger LOGGER = LogManager.getLogger(FrameServer.class);

    /** The network threads. */
    private final Network network;

    /** Address to listen on. */
    private final String address;

    /** Handles the requests. */
    private final RequestHandler handler;

    /** The open connections. */
    private final ChannelGroup connections = new DefaultChannelGroup(GlobalEventExecutor.INSTANCE);

    /** Frames and connections that were refused as malformed. */
    private final AtomicLong malformed = new AtomicLong();

    /** The listening channel, null while stopped. */
    private Channel listener;

    /**
     * Creates a server.
     *
     * @param network the network threads
     * @param address address to listen on
     * @param handler handles the requests
     */
    public FrameServer(Network network, String address, RequestHandler handler) {
        this.network = network;
        this.address = address;
        this.handler = handler;
    }

    @Override
    public synchronized void start() {
        ServerBootstrap bootstrap = new ServerBootstrap();
        bootstrap.group(network.group());
        bootstrap.channel(NioServerSocketChannel.class);
        bootstrap.option(ChannelOption.SO_REUSEADDR, true);
        bootstrap.childOption(ChannelOption.TCP_NODELAY, true);
        bootstrap.childHandler(new ChannelInitializer<Channel>() {
            @Override
            protected void initChannel(Channel channel) {
                connections.add(channel);
                channel.pipeline().addLast(new ReadTimeoutHandler(Network.SILENCE_LIMIT_MS, TimeUnit.MILLISECONDS));
                Pipeline.addTo(channel.pipeline(), network.timeline());
                channel.pipeline().addLast(new Receiver());
            }
        });
        listener = bootstrap.bind(Network.parse(address)).syncUninterruptibly().channel();
        LOGGER.info("server: listens on {}", address);
    }

    @Override
    public synchronized void stop() {
        if (listener != null) {
            listener.close().awaitUninterruptibly();
            connections.close().awaitUninterruptibly();
            listener = null;
        }
    }

    /**
     * Counts the connections that were closed for a malformed frame.
     *
     * @return the count since the start
     */
    public long malformed() {
        return malformed.get();
    }

    /** Receives the frames of one connection. */
    private final class Receiver extends SimpleChannelInboundHandler<Frame> {

        @Override
        protected void channelRead0(ChannelHandlerContext context, Frame frame) {
            if (frame.body() instanceof ConnectionMessage.Ping) {
                send(context.channel(), 0, false, new ConnectionMessage.Pong(handler.status()));
                return;
            }
            handler.handle(frame.body(), new ChannelExchange(context.channel(), frame.stream()));
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            if (cause instanceof io.netty.handler.codec.DecoderException) {
                malformed.incrementAndGet();
                LOGGER.warn(
                        "server: closes {}: malformed frame", context.channel().remoteAddress());
            } else if (!(cause instanceof IOException) && !(cause instanceof ReadTimeoutException)) {
                LOGGER.warn(
                        "server: closes {} after a defect", context.channel().remoteAddress(), cause);
            }
            context.close();
        }
    }

    /**
     * Sends a frame.
     *
     * @param channel the connection
     * @param stream the number of the exchange
     * @param end whether the message is the last
     * @param message the message
     */
    private void send(Channel channel, long stream, boolean end, Message message) {
        long time = network.timeline().stamp(System.currentTimeMillis());
        channel.writeAndFlush(new Frame(stream, end, time, message));
    }

    /** An exchange on one connection. */
    private final class ChannelExchange implements Exchange {

        /** The connection. */
        private final Channel channel;

        /** The number of the exchange. */
        private final long stream;

        /**
         * Creates an exchange.
         *
         * @param channel the connection
         * @param stream the number of the exchange
         */
        ChannelExchange(Channel channel, long stream) {
            this.channel = channel;
            this.stream = stream;
        }

        @Override
        public void reply(Message message) {
            send(channel, stream, false, message);
        }

        @Override
        public void end(Message message) {
            send(channel, stream, true, message);
        }

        @Override
        public boolean isOpen() {
            return channel.isActive();
        }
    }
}
