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

    /** A caller once went on using the connection of a stream that had begun before the signal, until it was cut. */
    @Test
    void theConnectionOfAStreamThatBeganBeforeTheStopIsClosedAfterIt() throws Exception {
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
            String keeping = request("POST", "/stream/x", "a1", "", "prompt").replace("Connection: close\r\n", "");
            caller.getOutputStream().write(keeping.getBytes(StandardCharsets.UTF_8));
            String line = FakeTarget.readLine(caller.getInputStream());
            while (!line.equals("data: a")) {
                line = FakeTarget.readLine(caller.getInputStream());
            }
            gateway.callers.beginStop();
            stopped.countDown();
            while (!line.equals("0")) {
                line = FakeTarget.readLine(caller.getInputStream());
            }
            caller.getOutputStream().write(keeping.replace("a1", "a2").getBytes(StandardCharsets.UTF_8));
            assertThat(GatewayHarness.readAll(caller.getInputStream()).strip()).isEmpty();
            assertThat(target.seen).extracting(FakeTarget.Seen::id).containsExactly("a1");
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
