package org.bamboohatch.gateway.forward;

import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

import static org.assertj.core.api.Assertions.assertThat;
import static org.bamboohatch.gateway.forward.FakeTarget.write;
import static org.bamboohatch.gateway.forward.GatewayHarness.request;

/** Guards against a target that is taken for silent while the gateway itself does not read from it. */
@Timeout(30)
class SlowCallerTest {

    private static final int BODY_BYTES = 20_000_000;

    /** Longer than the idle timeout of the route, which is twice its target latency. */
    private static final long PAUSE_MS = 1_200;

    @Test
    void aResponseWhoseCallerPausesIsWhole() throws Exception {
        FakeTarget.Script large = (received, connection) -> {
            write(
                    connection,
                    "HTTP/1.1 200 OK\r\nRequest-Id: a1\r\nAnswer-Seal: s\r\nContent-Length: " + BODY_BYTES
                            + "\r\n\r\n");
            write(connection, "x".repeat(BODY_BYTES));
            return true;
        };
        try (FakeTarget first = new FakeTarget(large);
                FakeTarget second = new FakeTarget(large);
                GatewayHarness gateway = new GatewayHarness(first, second);
                Socket caller = gateway.connect()) {
            caller.getOutputStream()
                    .write(request("POST", "/stream/x", "a1", "", "prompt").getBytes(StandardCharsets.UTF_8));
            InputStream stream = caller.getInputStream();
            stream.read();
            Thread.sleep(PAUSE_MS);
            assertThat(stream.readAllBytes().length).isGreaterThan(BODY_BYTES);
        }
    }
}
