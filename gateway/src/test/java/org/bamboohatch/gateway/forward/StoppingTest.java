package org.bamboohatch.gateway.forward;

import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CountDownLatch;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

import static org.assertj.core.api.Assertions.assertThat;
import static org.bamboohatch.gateway.forward.GatewayHarness.request;

/** A planned stop cuts off no request, however long callers use their open connections. */
@Timeout(30)
class StoppingTest {

    /**
     * A stream that began before the signal does not tell its caller to close the connection. What the caller sends
     * on it next was once cut by the end of the process, and once read and dropped.
     */
    @Test
    void whatIsSentAfterAStreamThatBeganBeforeTheStopIsAnswered() throws Exception {
        for (boolean late : new boolean[] {false, true}) {
            CountDownLatch stopped = new CountDownLatch(1);
            FakeTarget.Script streaming = (seen, connection) -> {
                FakeTarget.write(
                        connection, FakeTarget.streamHead(seen.id(), "s") + FakeTarget.chunk("id: 1\ndata: a\n\n"));
                stopped.await();
                FakeTarget.write(connection, FakeTarget.chunk("id: 2\ndata: b\n\n") + "0\r\n\r\n");
                return true;
            };
            try (FakeTarget target = new FakeTarget(streaming);
                    GatewayHarness gateway = new GatewayHarness(target);
                    Socket caller = gateway.connect()) {
                String keeping =
                        request("POST", "/stream/x", "a1", "", "prompt").replace("Connection: close\r\n", "");
                caller.getOutputStream().write(keeping.getBytes(StandardCharsets.UTF_8));
                readUntil(caller, "data: a");
                gateway.callers.beginStop();
                if (late) {
                    gateway.forwarder.stopAdmitting();
                }
                stopped.countDown();
                readUntil(caller, "0");
                caller.getOutputStream().write(keeping.replace("a1", "a2").getBytes(StandardCharsets.UTF_8));
                String next = GatewayHarness.readAll(caller.getInputStream()).strip();
                assertThat(next)
                        .startsWith(late ? "HTTP/1.1 503" : "HTTP/1.1 200")
                        .containsIgnoringCase("connection: close");
                assertThat(target.seen).hasSize(late ? 1 : 2);
            }
        }
    }

    private static void readUntil(Socket caller, String wanted) throws Exception {
        String line = FakeTarget.readLine(caller.getInputStream());
        while (!line.equals(wanted)) {
            line = FakeTarget.readLine(caller.getInputStream());
        }
    }

    @Test
    void aRequestThatComesLateIsSentElsewhere() throws Exception {
        FakeTarget.Script script = (seen, connection) -> false;
        try (FakeTarget target = new FakeTarget(script);
                GatewayHarness gateway = new GatewayHarness(target)) {
            gateway.callers.beginStop();
            gateway.forwarder.stopAdmitting();
            String text = gateway.call(request("POST", "/order/x", "a1", "", "crates"));
            assertThat(text)
                    .startsWith("HTTP/1.1 503")
                    .containsIgnoringCase("retry-after: 0.02")
                    .contains("not-run");
            assertThat(target.seen).isEmpty();
        }
    }
}
