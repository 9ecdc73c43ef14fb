package org.bamboohatch.gateway.forward;

import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CountDownLatch;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

import static org.assertj.core.api.Assertions.assertThat;
import static org.bamboohatch.gateway.forward.GatewayHarness.request;

/** A graceful stop cuts off no request, even on connections that callers continue to use. */
@Timeout(30)
class StoppingTest {

    /**
     * A response that began before the stop does not ask its caller to close the connection. Guards against the next
     * request on that connection being cut off by the end of the process, or being read and dropped.
     */
    @Test
    void aRequestSentAfterAStreamThatBeganBeforeTheStopIsAnswered() throws Exception {
        for (boolean afterLastAdmission : new boolean[] {false, true}) {
            CountDownLatch stopBegun = new CountDownLatch(1);
            FakeTarget.Script streaming = (received, connection) -> {
                FakeTarget.write(
                        connection, FakeTarget.streamHead(received.id(), "s") + FakeTarget.chunk("id: 1\ndata: a\n\n"));
                stopBegun.await();
                FakeTarget.write(connection, FakeTarget.chunk("id: 2\ndata: b\n\n") + "0\r\n\r\n");
                return true;
            };
            try (FakeTarget target = new FakeTarget(streaming);
                    GatewayHarness gateway = new GatewayHarness(target);
                    Socket caller = gateway.connect()) {
                String keepAlive =
                        request("POST", "/stream/x", "a1", "", "prompt").replace("Connection: close\r\n", "");
                caller.getOutputStream().write(keepAlive.getBytes(StandardCharsets.UTF_8));
                readUntil(caller, "data: a");
                gateway.callers.beginStop();
                if (afterLastAdmission) {
                    gateway.forwarder.stopAdmitting();
                }
                stopBegun.countDown();
                readUntil(caller, "0");
                caller.getOutputStream().write(keepAlive.replace("a1", "a2").getBytes(StandardCharsets.UTF_8));
                String next = GatewayHarness.readAll(caller.getInputStream()).strip();
                assertThat(next)
                        .startsWith(afterLastAdmission ? "HTTP/1.1 503" : "HTTP/1.1 200")
                        .containsIgnoringCase("connection: close");
                assertThat(target.received).hasSize(afterLastAdmission ? 1 : 2);
            }
        }
    }

    private static void readUntil(Socket caller, String expected) throws Exception {
        String line = FakeTarget.readLine(caller.getInputStream());
        while (!line.equals(expected)) {
            line = FakeTarget.readLine(caller.getInputStream());
        }
    }

    @Test
    void aRequestAfterTheLastAdmissionIsRefusedWithoutRunning() throws Exception {
        FakeTarget.Script script = (received, connection) -> false;
        try (FakeTarget target = new FakeTarget(script);
                GatewayHarness gateway = new GatewayHarness(target)) {
            gateway.callers.beginStop();
            gateway.forwarder.stopAdmitting();
            String text = gateway.call(request("POST", "/order/x", "a1", "", "crates"));
            assertThat(text)
                    .startsWith("HTTP/1.1 503")
                    .containsIgnoringCase("retry-after: 0.02")
                    .contains("not-run");
            assertThat(target.received).isEmpty();
        }
    }
}
