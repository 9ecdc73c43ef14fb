package org.bamboohatch.standin.relay;

import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Queue;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
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
 * Relays TCP connections with a delay and can silently discard the data of one direction or both. A direction of a
 * connection whose data was once discarded forwards nothing more, not even the end of the connection. Connections opened
 * later are not affected by an earlier mode.
 */
final class Relay implements Service {

    /** Extra delay of data that counts as lost and retransmitted. */
    private static final long RETRANSMISSION_DELAY_MS = 200;

    private static final double PERCENT = 100;

    private final RelaySettings settings;

    private final AtomicReference<RelayMode> mode = new AtomicReference<>(RelayMode.PASS);

    /** Network threads; a single one, so that the random numbers are drawn by one thread. */
    private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());

    /** Draws the delays. */
    private final SplittableRandom random;

    Relay(RelaySettings settings) {
        this.settings = settings;
        this.random = new SplittableRandom(settings.seed());
    }

    void setMode(RelayMode next) {
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
     * Connects a client to the target and reads from the client once the connection is established. If that fails, the client
     * is disconnected.
     *
     * @param client channel of the client
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

    /** Forwards one direction of a connection. */
    private final class Pipe extends ChannelInboundHandlerAdapter {

        /** Channel that data is forwarded to. */
        private final Channel other;

        private final boolean fromClient;

        /** Whether data of this direction has been discarded, after which nothing more is forwarded. */
        private boolean blocked;

        /** Steps that remain, in order: each task that is scheduled does the next one. */
        private final Queue<Runnable> steps = new ArrayDeque<>();

        /** Time at which the preceding step is done; later ones do not overtake it. */
        private long lastForwardMillis;

        Pipe(Channel other, boolean fromClient) {
            this.other = other;
            this.fromClient = fromClient;
        }

        @Override
        public void channelRead(ChannelHandlerContext context, Object message) {
            blocked |= !mode.get().forwards(fromClient);
            if (blocked) {
                ReferenceCountUtil.release(message);
                return;
            }
            forward(context, () -> other.writeAndFlush(message));
        }

        /**
         * Forwards data or the end of the connection after a delay.
         *
         * @param context context of the channel that is read
         * @param step forwards to the other channel
         */
        private void forward(ChannelHandlerContext context, Runnable step) {
            long now = TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
            lastForwardMillis = Math.max(lastForwardMillis, now + delay());
            steps.add(step);
            context.channel()
                    .eventLoop()
                    .schedule(() -> steps.remove().run(), lastForwardMillis - now, TimeUnit.MILLISECONDS);
        }

        /** Draws the delay of a piece of data, in milliseconds. */
        private long delay() {
            long jitter = settings.jitterMillis() == 0
                    ? 0
                    : random.nextLong(-settings.jitterMillis(), settings.jitterMillis() + 1);
            boolean lost = random.nextDouble() * PERCENT < settings.lossPercent();
            return Math.max(0, settings.delayMillis() + jitter) + (lost ? RETRANSMISSION_DELAY_MS : 0);
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            if (!blocked && mode.get() != RelayMode.SILENT) {
                forward(context, () -> other.writeAndFlush(Unpooled.EMPTY_BUFFER)
                        .addListener(ChannelFutureListener.CLOSE));
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            if (other.isOpen()) {
                other.config().setOption(ChannelOption.SO_LINGER, 0);
            }
            context.close();
        }
    }
}
