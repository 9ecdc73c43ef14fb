package org.bamboohatch.gateway.target;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import org.bamboohatch.kernel.id.TargetName;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

import static org.assertj.core.api.Assertions.assertThat;

/** Guards against a target that is taken to run although it has ended, and against the reverse. */
@Timeout(30)
class TargetProbeTest {

    private static final InetAddress LOOPBACK = InetAddress.getLoopbackAddress();

    private final EventLoop loop = (EventLoop) new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory()).next();

    private boolean probe(int port, long settlingMillis) {
        TargetConnectionPool pool = new TargetConnectionPool(loop, "Request-Id", (target, head, requestSentAt) -> {});
        TargetProbe probe = new TargetProbe.ForConnections(pool, loop, settlingMillis);
        TargetAddress address = new TargetAddress(new TargetName("target"), 1, LOOPBACK.getHostAddress() + ':' + port);
        CompletableFuture<Boolean> result = new CompletableFuture<>();
        loop.execute(() -> probe.probe(address, 0, result::complete));
        return result.join();
    }

    @AfterEach
    void stop() {
        loop.parent().shutdownGracefully();
    }

    @Test
    void aTargetThatAcceptsConnectionsRuns() throws IOException {
        try (ServerSocket listener = new ServerSocket(0, 50, LOOPBACK)) {
            assertThat(probe(listener.getLocalPort(), 1)).isTrue();
        }
    }

    @Test
    void aTargetWhoseHostRefusesConnectionsHasEnded() throws IOException {
        int port;
        try (ServerSocket listener = new ServerSocket(0, 50, LOOPBACK)) {
            port = listener.getLocalPort();
        }
        assertThat(probe(port, 1)).isFalse();
    }

    /** The kernel of a process that ends may establish a connection before it closes the listener. */
    @Test
    void aTargetThatEndsWithTheConnectionHasEnded() throws Exception {
        try (ServerSocket listener = new ServerSocket(0, 50, LOOPBACK)) {
            Thread ending = new Thread(() -> {
                try (Socket accepted = listener.accept()) {
                    TimeUnit.MILLISECONDS.sleep(200);
                    listener.close();
                    accepted.setSoLinger(true, 0);
                } catch (IOException | InterruptedException unexpected) {
                    throw new IllegalStateException(unexpected);
                }
            });
            ending.start();
            assertThat(probe(listener.getLocalPort(), TimeUnit.MINUTES.toMillis(1)))
                    .isFalse();
            ending.join();
        }
    }

    /** A target resets the connections beyond its limit. */
    @Test
    void aTargetThatResetsEachConnectionRuns() throws Exception {
        try (ServerSocket listener = new ServerSocket(0, 50, LOOPBACK)) {
            Thread resetting = new Thread(() -> {
                try {
                    while (true) {
                        Socket accepted = listener.accept();
                        accepted.setSoLinger(true, 0);
                        accepted.close();
                    }
                } catch (IOException closed) {
                    // The test has ended.
                }
            });
            resetting.start();
            assertThat(probe(listener.getLocalPort(), TimeUnit.MINUTES.toMillis(1)))
                    .isTrue();
        }
    }

    /** A target that is too busy to accept has not ended. */
    @Test
    void aTargetThatDoesNotAnswerMayRun() throws IOException {
        List<Socket> waiting = new ArrayList<>();
        try (ServerSocket listener = new ServerSocket(0, 1, LOOPBACK)) {
            for (int number = 0; number < 2; number++) {
                waiting.add(new Socket(LOOPBACK, listener.getLocalPort()));
            }
            assertThat(probe(listener.getLocalPort(), 1)).isTrue();
        } finally {
            for (Socket socket : waiting) {
                socket.close();
            }
        }
    }
}
