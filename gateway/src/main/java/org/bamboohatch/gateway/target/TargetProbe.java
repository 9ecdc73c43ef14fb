package org.bamboohatch.gateway.target;

import java.net.ConnectException;
import java.net.InetSocketAddress;
import java.net.SocketException;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

import io.netty.channel.ChannelFuture;
import io.netty.channel.ConnectTimeoutException;
import io.netty.channel.EventLoop;
import io.netty.util.concurrent.Future;
import org.bamboohatch.protocol.transport.Network;

/** Finds out whether a target still runs. */
@FunctionalInterface
interface TargetProbe {

    /**
     * Probes a target.
     *
     * @param address address of the target
     * @param now current time, in milliseconds
     * @param onResult invoked with {@code false} if it is certain that the target has ended
     */
    void probe(TargetAddress address, long now, Consumer<Boolean> onResult);

    /**
     * Probes a target with a connection, which joins the pool if it stays open. The target has ended if its host refuses the
     * connection. A reset is no proof: a host resets connections while a process ends, and a target resets those beyond its
     * limit; only the former refuses the next connection. A target that does not answer in time may be busy.
     */
    final class ForConnections implements TargetProbe {

        /** Time for which a connection must stay open before it shows that the target runs, in milliseconds. */
        static final long SETTLING_MS = 20;

        /** Timeout for opening a connection, in milliseconds. */
        private static final int CONNECT_TIMEOUT_MS = 250;

        /** Delay before another connection is tried after a reset, in milliseconds. */
        private static final long RETRY_DELAY_MS = 20;

        /** Number of connections that are tried. */
        private static final int MAX_TRIES = 3;

        private final TargetConnectionPool pool;

        private final EventLoop loop;

        private final long settlingMillis;

        /**
         * Creates a probe that has made no connection yet.
         *
         * @param pool pool that opens the connections
         * @param loop the event loop that serves all callers
         * @param settlingMillis time for which a connection must stay open, in milliseconds
         */
        ForConnections(TargetConnectionPool pool, EventLoop loop, long settlingMillis) {
            this.pool = pool;
            this.loop = loop;
            this.settlingMillis = settlingMillis;
        }

        @Override
        public void probe(TargetAddress address, long now, Consumer<Boolean> onResult) {
            Optional<InetSocketAddress> remote = Network.parseAnnounced(address.address());
            if (remote.isPresent()) {
                connect(address, remote.get(), now, MAX_TRIES, onResult);
            } else {
                onResult.accept(true);
            }
        }

        private void connect(
                TargetAddress address, InetSocketAddress remote, long now, int tries, Consumer<Boolean> onResult) {
            HttpTargetConnection connection = pool.newConnection(address);
            Runnable onReset = () -> {
                if (tries > 1) {
                    loop.schedule(
                            () -> connect(address, remote, now, tries - 1, onResult),
                            RETRY_DELAY_MS,
                            TimeUnit.MILLISECONDS);
                } else {
                    onResult.accept(true);
                }
            };
            ChannelFuture connecting = pool.connect(connection, remote, CONNECT_TIMEOUT_MS);
            connecting.addListener(done -> {
                if (done.isSuccess()) {
                    settle(connection, connecting, now, onReset, onResult);
                } else if (isTimeout(done.cause()) || !(done.cause() instanceof SocketException)) {
                    onResult.accept(true);
                } else if (done.cause() instanceof ConnectException) {
                    onResult.accept(false);
                } else {
                    onReset.run();
                }
            });
        }

        private static boolean isTimeout(Throwable cause) {
            return cause instanceof ConnectTimeoutException;
        }

        private void settle(
                HttpTargetConnection connection,
                ChannelFuture connected,
                long now,
                Runnable onReset,
                Consumer<Boolean> onResult) {
            Future<?> settling = loop.schedule(
                    () -> {
                        pool.returnUnused(connection, now);
                        onResult.accept(true);
                    },
                    settlingMillis,
                    TimeUnit.MILLISECONDS);
            connected.channel().closeFuture().addListener(closed -> {
                if (settling.cancel(false)) {
                    onReset.run();
                }
            });
        }
    }
}
