package org.bamboohatch.agent.driver;

import java.io.IOException;
import java.net.ConnectException;
import java.net.SocketAddress;
import java.net.SocketException;
import java.nio.ByteBuffer;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import org.eclipse.jetty.client.AbstractConnectorHttpClientTransport;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.io.AbstractConnection;
import org.eclipse.jetty.io.ClientConnectionFactory;
import org.eclipse.jetty.io.ClientConnector;
import org.eclipse.jetty.io.EndPoint;
import org.eclipse.jetty.io.Transport;
import org.eclipse.jetty.util.BufferUtil;
import org.eclipse.jetty.util.Promise;
import org.eclipse.jetty.util.thread.Scheduler;

/** Finds out whether a target still runs. */
@FunctionalInterface
interface TargetProbe {

    /**
     * Probes a target.
     *
     * @param address address of the target
     * @return completed with {@code true} if it is certain that the target has ended
     */
    CompletableFuture<Boolean> hasEnded(SocketAddress address);

    /**
     * Probes a target with a connection on which nothing is sent. The target runs if the connection stays open, and has ended
     * if its host refuses the connection. A reset is no proof: a host resets connections while a process ends, and a target
     * resets those beyond its limit; only the former refuses the next connection. A target that does not answer in time may
     * be busy.
     */
    final class ForConnections implements TargetProbe {

        /** Time for which a connection must stay open before it shows that the target runs, in milliseconds. */
        static final long SETTLING_MS = 20;

        /** Timeout for opening a connection, in milliseconds. */
        private static final long CONNECT_TIMEOUT_MS = 1_000;

        /** Delay before another connection is tried after a reset, in milliseconds. */
        private static final long RETRY_DELAY_MS = 20;

        /** Number of connections that are tried. */
        private static final int MAX_TRIES = 3;

        /** What a connection shows. */
        private enum Sign {
            RUNS,
            ENDED,
            RESET
        }

        private final HttpClient client;

        private final long settlingMillis;

        /**
         * Creates a probe that has made no connection yet.
         *
         * @param client HTTP client, which must be started and opens the connections
         * @param settlingMillis time for which a connection must stay open, in milliseconds
         */
        ForConnections(HttpClient client, long settlingMillis) {
            this.client = client;
            this.settlingMillis = settlingMillis;
        }

        @Override
        public CompletableFuture<Boolean> hasEnded(SocketAddress address) {
            return hasEnded(address, MAX_TRIES);
        }

        private CompletableFuture<Boolean> hasEnded(SocketAddress address, int tries) {
            // The threads of the selector and of the scheduler must not run what the caller does with the result.
            return connect(address)
                    .thenComposeAsync(
                            sign -> sign == Sign.RESET && tries > 1
                                    ? retry(address, tries - 1)
                                    : CompletableFuture.completedFuture(sign == Sign.ENDED),
                            client.getExecutor());
        }

        private CompletableFuture<Boolean> retry(SocketAddress address, int tries) {
            CompletableFuture<Boolean> ended = new CompletableFuture<>();
            schedule(
                    () -> hasEnded(address, tries).thenAcceptAsync(ended::complete, client.getExecutor()),
                    RETRY_DELAY_MS);
            return ended;
        }

        private CompletableFuture<Sign> connect(SocketAddress address) {
            CompletableFuture<Sign> sign = new CompletableFuture<>();
            Scheduler.Task timeout = schedule(() -> sign.complete(Sign.RUNS), CONNECT_TIMEOUT_MS);
            ClientConnectionFactory connections = (endPoint, context) -> new SilentConnection(endPoint, timeout, sign);
            Promise<SilentConnection> opening = Promise.from(opened -> {}, failure -> {
                timeout.cancel();
                sign.complete(signOf(failure));
            });
            Map<String, Object> context = new HashMap<>();
            context.put(Transport.CONTEXT_KEY, Transport.TCP_IP);
            context.put(ClientConnectionFactory.CONTEXT_KEY, connections);
            context.put(ClientConnector.CONNECTION_PROMISE_CONTEXT_KEY, opening);
            ((AbstractConnectorHttpClientTransport) client.getTransport())
                    .getClientConnector()
                    .connect(address, context);
            return sign;
        }

        private static Sign signOf(Throwable failure) {
            if (failure instanceof ConnectException) {
                return Sign.ENDED;
            }
            return failure instanceof SocketException ? Sign.RESET : Sign.RUNS;
        }

        private Scheduler.Task schedule(Runnable task, long delayMillis) {
            return client.getScheduler().schedule(task, delayMillis, TimeUnit.MILLISECONDS);
        }

        /** A connection that is closed as soon as it has shown something. */
        private final class SilentConnection extends AbstractConnection {

            private final Scheduler.Task timeout;

            private final CompletableFuture<Sign> sign;

            private final ByteBuffer ignored = BufferUtil.allocate(1024);

            SilentConnection(EndPoint endPoint, Scheduler.Task timeout, CompletableFuture<Sign> sign) {
                super(endPoint, client.getExecutor());
                this.timeout = timeout;
                this.sign = sign;
            }

            @Override
            public void onOpen() {
                super.onOpen();
                timeout.cancel();
                Scheduler.Task settling = schedule(() -> sign.complete(Sign.RUNS), settlingMillis);
                sign.thenRun(() -> {
                    settling.cancel();
                    close();
                });
                fillInterested();
            }

            @Override
            public void onFillable() {
                try {
                    int filled = getEndPoint().fill(ignored);
                    while (filled > 0) {
                        BufferUtil.clear(ignored);
                        filled = getEndPoint().fill(ignored);
                    }
                    if (filled == 0) {
                        fillInterested();
                    } else {
                        sign.complete(Sign.RESET);
                    }
                } catch (IOException reset) {
                    sign.complete(Sign.RESET);
                }
            }

            @Override
            public void onClose(Throwable cause) {
                super.onClose(cause);
                sign.complete(Sign.RESET);
            }
        }
    }
}
