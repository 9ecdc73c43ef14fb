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

/** Server that accepts connections and passes their requests to a handler. */
public final class FrameServer implements Service {

    private static final Logger LOGGER = LogManager.getLogger(FrameServer.class);

    private final Network network;

    private final String address;

    private final RequestHandler handler;

    private final ChannelGroup connections = new DefaultChannelGroup(GlobalEventExecutor.INSTANCE);

    /** Number of connections closed because of a malformed frame. */
    private final AtomicLong malformed = new AtomicLong();

    /** The listening channel, or {@code null} while the server is stopped. */
    private Channel listener;

    /**
     * Creates a server that listens once it is started.
     *
     * @param network network that provides the threads of the connections
     * @param address address to listen on, host and port
     * @param handler handler of the requests on all connections
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
                channel.pipeline().addLast(new ReadTimeoutHandler(Network.READ_TIMEOUT_MS, TimeUnit.MILLISECONDS));
                Pipeline.addTo(channel.pipeline(), network.timeline());
                channel.pipeline().addLast(new Receiver());
            }
        });
        listener = bootstrap.bind(Network.parse(address)).syncUninterruptibly().channel();
        LOGGER.info("server: listening on {}", address);
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
     * Returns how many connections were closed because of a malformed frame.
     *
     * @return the number since the server was created
     */
    public long malformed() {
        return malformed.get();
    }

    /** Answers heartbeats and passes requests to the handler. */
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
                        "server: closing connection from {}: malformed frame",
                        context.channel().remoteAddress());
            } else if (!(cause instanceof IOException) && !(cause instanceof ReadTimeoutException)) {
                LOGGER.warn(
                        "server: closing connection from {} after an unexpected error",
                        context.channel().remoteAddress(),
                        cause);
            }
            context.close();
        }
    }

    private void send(Channel channel, long stream, boolean end, Message message) {
        long time = network.timeline().stamp(System.currentTimeMillis());
        channel.writeAndFlush(new Frame(stream, end, time, message));
    }

    /** Exchange on a stream of a Netty channel. */
    private final class ChannelExchange implements Exchange {

        private final Channel channel;

        private final long stream;

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
