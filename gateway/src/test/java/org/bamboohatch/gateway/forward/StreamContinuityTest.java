package org.bamboohatch.gateway.forward;

import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CountDownLatch;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

import static org.assertj.core.api.Assertions.assertThat;
import static org.bamboohatch.gateway.forward.FakeTarget.chunk;
import static org.bamboohatch.gateway.forward.FakeTarget.streamHead;
import static org.bamboohatch.gateway.forward.FakeTarget.write;
import static org.bamboohatch.gateway.forward.GatewayHarness.request;

/** A stream that a sound target sends is neither cut nor started again elsewhere, whatever is heard of the target. */
@Timeout(30)
class StreamContinuityTest {

    /** Pause between two events: long for the route, but shorter than callers wait. */
    private static final long PAUSE_MS = 1_100;

    private static final FakeTarget.Script UNEXPECTED = (received, connection) -> {
        throw new AssertionError("the request was sent again");
    };

    /** Sends one event, and the second one after the test has changed what is known of the target. */
    private static FakeTarget.Script streamingInTwoParts(CountDownLatch changed, String moreHeaders) {
        return (received, connection) -> {
            write(
                    connection,
                    streamHead(received.id(), "s").replace("Answer-Seal", moreHeaders + "Answer-Seal")
                            + chunk("id: 1\ndata: a\n\n"));
            changed.await();
            write(connection, chunk("id: 2\ndata: b\n\n") + "0\r\n\r\n");
            return true;
        };
    }

    private static void sendStreamRequest(Socket caller) throws Exception {
        caller.getOutputStream()
                .write(request("POST", "/stream/x", "a1", "", "prompt").getBytes(StandardCharsets.UTF_8));
    }

    /** A target that is silent towards control loses its lease, but may work on. */
    @Test
    void aStreamGoesOnWhenItsTargetIsNoLongerAnnounced() throws Exception {
        CountDownLatch changed = new CountDownLatch(1);
        try (FakeTarget silent = new FakeTarget(streamingInTwoParts(changed, ""));
                FakeTarget other = new FakeTarget(UNEXPECTED);
                GatewayHarness gateway = new GatewayHarness(silent);
                Socket caller = gateway.connect()) {
            sendStreamRequest(caller);
            awaitRequest(silent);
            gateway.apply(other);
            changed.countDown();
            assertThat(GatewayHarness.readAll(caller.getInputStream()))
                    .contains("id: 1")
                    .contains("id: 2")
                    .endsWith("0\r\n\r\n");
            assertThat(other.received).isEmpty();
        }
    }

    @Test
    void aStreamAtATargetThatLeavesIsFinished() throws Exception {
        CountDownLatch changed = new CountDownLatch(1);
        try (FakeTarget leaving = new FakeTarget(streamingInTwoParts(changed, "Target-Leaving: 1\r\n"));
                GatewayHarness gateway = new GatewayHarness(leaving);
                Socket caller = gateway.connect()) {
            sendStreamRequest(caller);
            awaitRequest(leaving);
            changed.countDown();
            assertThat(GatewayHarness.readAll(caller.getInputStream()))
                    .contains("id: 2")
                    .endsWith("0\r\n\r\n");
        }
    }

    /** A stream without token counts was given up like a response of a plain service, after twice the target latency. */
    @Test
    void aSlowStreamIsNotCut() throws Exception {
        FakeTarget.Script slow = (received, connection) -> {
            write(connection, streamHead(received.id(), "s") + chunk("id: 1\ndata: a\n\n"));
            for (int event = 2; event <= 3; event++) {
                Thread.sleep(PAUSE_MS);
                write(connection, chunk("id: " + event + "\ndata: a\n\n"));
            }
            write(connection, "0\r\n\r\n");
            return true;
        };
        try (FakeTarget target = new FakeTarget(slow);
                FakeTarget other = new FakeTarget(slow);
                GatewayHarness gateway = new GatewayHarness(target, other)) {
            assertThat(gateway.call(request("POST", "/stream/x", "a1", "", "prompt")))
                    .contains("id: 3")
                    .endsWith("0\r\n\r\n");
            assertThat(target.received.size() + other.received.size()).isEqualTo(1);
        }
    }

    private static void awaitRequest(FakeTarget target) throws InterruptedException {
        while (target.received.isEmpty()) {
            Thread.sleep(1);
        }
    }
}
