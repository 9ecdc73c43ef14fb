package org.bamboohatch.gateway.forward;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

import org.bamboohatch.document.fleet.CallerLimits;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;
import static org.bamboohatch.gateway.forward.FakeTarget.write;
import static org.bamboohatch.gateway.forward.GatewayHarness.request;

/**
 * Guards against a part of a response that reaches the caller as the whole because the write of the request, not a read, met
 * the reset of the connection.
 */
@Timeout(60)
class ResponseDuringUploadTest {

    /** Size of a request body that the buffers of two sockets do not hold. */
    private static final int BODY_BYTES = 16 * 1024 * 1024;

    private static final CallerLimits LARGE_BODIES = new CallerLimits(4_096, BODY_BYTES, 4_000, 3_000);

    private static final String PART =
            "HTTP/1.1 200 OK\r\nRequest-Id: a1\r\nAnswer-Seal: s\r\nContent-Type: text/plain\r\n\r\npart of the body";

    /** Target that answers before it has read a request, and resets the connection a little later. */
    private static final class HastyTarget implements AutoCloseable {

        private final ServerSocket listener = new ServerSocket(0, 50, InetAddress.getByName("127.0.0.1"));

        private final List<Socket> others = new ArrayList<>();

        private final long resetDelayMillis;

        HastyTarget(long resetDelayMillis) throws IOException {
            this.resetDelayMillis = resetDelayMillis;
            Thread accepting = new Thread(this::accept, "target");
            accepting.setDaemon(true);
            accepting.start();
        }

        private void accept() {
            try {
                while (true) {
                    Socket connection = listener.accept();
                    if (FakeTarget.readLine(connection.getInputStream()).startsWith("POST")) {
                        write(connection, PART);
                        TimeUnit.MILLISECONDS.sleep(resetDelayMillis);
                        connection.setSoLinger(true, 0);
                        connection.close();
                    } else {
                        others.add(connection);
                    }
                }
            } catch (IOException | InterruptedException ended) {
                // The test has closed the listener.
            }
        }

        String address() {
            return "127.0.0.1:" + listener.getLocalPort();
        }

        @Override
        public void close() throws IOException {
            listener.close();
            for (Socket other : others) {
                other.close();
            }
        }
    }

    @ParameterizedTest
    @ValueSource(longs = {0, 1, 5, 20, 100, 300})
    void aResponseWithoutALengthIsLostIfItsConnectionIsResetWhileTheRequestIsWritten(long resetDelayMillis)
            throws Exception {
        try (HastyTarget target = new HastyTarget(resetDelayMillis);
                GatewayHarness gateway = new GatewayHarness()) {
            gateway.limits = LARGE_BODIES;
            gateway.applyAddresses(List.of(target.address()));
            String seen = gateway.call(request("POST", "/order/x", "a1", "", "x".repeat(BODY_BYTES)));
            assertThat(seen.startsWith("HTTP/1.1 200") && seen.endsWith("\r\n0\r\n\r\n"))
                    .as(seen)
                    .isFalse();
            assertThat(seen).doesNotContain("Content-Length: 16");
        }
    }
}
