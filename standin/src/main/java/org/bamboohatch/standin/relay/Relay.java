package org.bamboohatch.standin.relay;

import java.net.InetSocketAddress;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.util.ReferenceCountUtil;
import org.bamboohatch.kernel.service.Service;
import org.bamboohatch.protocol.transport.Network;

/**
 * Passes TCP connections on with delay, and can go silent in one direction or both. A connection that was open
 * while the relay was silent stays silent for good; new ones work again.
 */
final class Relay implements Service {

    /** Extra delay of a part that counts as lost and sent again, in milliseconds. */
    private static final long RETRANSMISSION_MS = 200;

    /** Percent in a whole. */
    private static final double PERCENT = 100;

    /** The settings. */
    private final RelaySettings settings;

    /** What the relay does with data. */
    private final AtomicReference<RelayMode> mode = new AtomicReference<>(RelayMode.PASS);

    /** The network threads; a single one, so that the random numbers are drawn by one thread. */
    private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());

    /** Draws delays. */
    private final SplittableRandom random;

    /**
     * Creates a relay.
     *
     * @param settings the settings
     */
    Relay(RelaySettings settings) {
        this.settings = settings;
        this.random = new SplittableRandom(settings.seed());
    }

    /**
     * Changes what the relay does with data.
     *
     * @param next the mode
     */
    void mode(RelayMode next) {
        mode.set(next);
    }

    @Override
    public void start() {
        ServerBootstrap bootstrap = new ServerBootstrap();
        bootstrap.group(group).channel(NioServerSocketChannel.class);
        bootstrap.childOption(ChannelOption.TCP_NODELAY, true);
        bootstrap.childHandler(new ChannelInitializer<Channel>() {
            @Override
            protected void initChannel(Channel client) {
                connect(client);
            }
        });
        bootstrap.bind(Network.parse(settings.listen())).syncUninterruptibly();
    }

    @Override
    public void stop() {
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly();
    }

    /**
     * Connects a client with the target.
     *
     * @param client the client's channel
     */
    private void connect(Channel client) {
        client.config().setAutoRead(false);
        InetSocketAddress address = Network.parse(settings.target());
        Bootstrap bootstrap = new Bootstrap();
        bootstrap.group(client.eventLoop()).channel(NioSocketChannel.class);
        bootstrap.option(ChannelOption.TCP_NODELAY, true);
        bootstrap.handler(new ChannelInitializer<Channel>() {
            @Override
            protected void initChannel(Channel target) {
                target.pipeline().addLast(new Pipe(client, false));
            }
        });
        ChannelFuture connecting = bootstrap.connect(address);
        client.pipeline().addLast(new Pipe(connecting.channel(), true));
        connecting.addListener(done -> {
            if (done.isSuccess()) {
                client.config().setAutoRead(true);
            } else {
                client.close();
            }
        });
    }

    /** Passes one direction of one connection. */
    private final class Pipe extends ChannelInboundHandlerAdapter {

        /** The other end. */
        private final Channel other;

        /** Whether the data comes from a client. */
        private final boolean fromClient;

        /** Whether this direction has gone silent. */
        private boolean silent;

        /** Time at which the part before was passed on, in milliseconds. */
        private long lastPassed;

        /**
         * Creates a pipe.
         *
         * @param other the other end
         * @param fromClient whether the data comes from a client
         */
        Pipe(Channel other, boolean fromClient) {
            this.other = other;
            this.fromClient = fromClient;
        }

        @Override
        public void channelRead(ChannelHandlerContext context, Object message) {
            silent |= !mode.get().passes(fromClient);
            if (silent) {
                ReferenceCountUtil.release(message);
                return;
            }
            ByteBuf part = (ByteBuf) message;
            long now = TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
            lastPassed = Math.max(lastPassed, now + delay());
            context.channel()
                    .eventLoop()
                    .schedule(() -> other.writeAndFlush(part), lastPassed - now, TimeUnit.MILLISECONDS);
        }

        /**
         * Draws a delay.
         *
         * @return the delay in milliseconds
         */
        private long delay() {
            long jitter = settings.jitterMillis() == 0
                    ? 0
                    : random.nextLong(-settings.jitterMillis(), settings.jitterMillis() + 1);
            boolean lost = random.nextDouble() * PERCENT < settings.lossPercent();
            return Math.max(0, settings.delayMillis() + jitter) + (lost ? RETRANSMISSION_MS : 0);
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            if (!silent && mode.get() != RelayMode.SILENT) {
                other.close();
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            context.close();
        }
    }
}
