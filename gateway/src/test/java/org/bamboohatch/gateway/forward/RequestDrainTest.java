package org.bamboohatch.gateway.forward;

import java.io.IOException;
import java.net.ConnectException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.function.Supplier;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;
import static org.bamboohatch.gateway.forward.GatewayHarness.request;

/** A stopping gateway answers what it cannot finish before its process ends. */
@Timeout(30)
class RequestDrainTest {

    private static final DrainSchedule SHORT = new DrainSchedule(100, 200, 1_000, 1_600);

    private final CountDownLatch testOver = new CountDownLatch(1);

    /** Sends a request, stops the gateway once the target has it, and returns what the caller receives until the process ends. */
    private String callDuringDrain(GatewayHarness gateway, FakeTarget target, String request) throws Exception {
        CompletableFuture<String> response = CompletableFuture.supplyAsync(call(gateway, request));
        while (target.received.isEmpty()) {
            Thread.sleep(1);
        }
        gateway.drainAndExit(SHORT);
        testOver.countDown();
        return response.get();
    }

    private static Supplier<String> call(GatewayHarness gateway, String request) {
        return () -> {
            try {
                return gateway.call(request);
            } catch (IOException closed) {
                return "";
            }
        };
    }

    /** Guards against a request whose target is still at work being cut off without an answer by the end of the process. */
    @Test
    void aNonRepeatableRequestThatOutlastsTheDrainIsAnsweredAsUnknown() throws Exception {
        assertAnsweredAsUnknown("/order/x");
    }

    @Test
    void aRepeatableRequestThatOutlastsTheDrainIsAnsweredAsUnknown() throws Exception {
        assertAnsweredAsUnknown("/read/x");
    }

    private void assertAnsweredAsUnknown(String path) throws Exception {
        FakeTarget.Script silent = (received, connection) -> {
            testOver.await();
            return false;
        };
        try (FakeTarget target = new FakeTarget(silent);
                GatewayHarness gateway = new GatewayHarness(target)) {
            String text = callDuringDrain(gateway, target, request("POST", path, "a1", "", "crates"));
            assertThat(text)
                    .startsWith("HTTP/1.1 504")
                    .containsIgnoringCase("connection: close")
                    .contains("\"outcome\":\"unknown\"");
            assertThat(target.received).hasSize(1);
        }
    }

    /** Guards against a stream that the end of the process cuts off looking complete. */
    @Test
    void aStreamThatOutlastsTheDrainIsAborted() throws Exception {
        FakeTarget.Script endless = (received, connection) -> {
            FakeTarget.write(
                    connection, FakeTarget.streamHead(received.id(), "s") + FakeTarget.chunk("id: 1\ndata: a\n\n"));
            testOver.await();
            return false;
        };
        try (FakeTarget target = new FakeTarget(endless);
                GatewayHarness gateway = new GatewayHarness(target)) {
            String text = callDuringDrain(gateway, target, request("POST", "/stream/x", "a1", "", "prompt"));
            assertThat(text).startsWith("HTTP/1.1 200").contains("data: a").doesNotContain("\r\n0\r\n");
        }
    }

    /** Guards against a request whose body is still being received being cut off by the end of the process. */
    @Test
    void aRequestThatIsIncompleteAtTheEndOfTheDrainIsRefusedAsNotRun() throws Exception {
        try (GatewayHarness gateway = new GatewayHarness();
                Socket caller = gateway.connect()) {
            String request = request("POST", "/order/x", "a1", "", "crates");
            caller.getOutputStream()
                    .write(request.substring(0, request.length() - 1).getBytes(StandardCharsets.UTF_8));
            gateway.drainAndExit(SHORT);
            assertThat(GatewayHarness.readAll(caller.getInputStream()))
                    .startsWith("HTTP/1.1 503")
                    .containsIgnoringCase("connection: close")
                    .containsIgnoringCase("retry-after: 0.02")
                    .contains("not-run");
        }
    }

    /** Guards against a connection that is accepted after the last check being cut off by the end of the process. */
    @Test
    void noConnectionIsAcceptedAfterTheDrain() throws Exception {
        try (GatewayHarness gateway = new GatewayHarness()) {
            gateway.drain(new DrainSchedule(0, 0, 20_000, 20_000));
            assertThatThrownBy(gateway::connect).isInstanceOf(ConnectException.class);
        }
    }

    /** Guards against requests being admitted late, and cut off, because the thread that drains is delayed. */
    @Test
    void theEndOfTheAdmissionDoesNotWaitForTheNextCheck() throws Exception {
        try (FakeTarget target = new FakeTarget((received, connection) -> false);
                GatewayHarness gateway = new GatewayHarness(target)) {
            gateway.beginDrain(new DrainSchedule(0, 0, 20_000, 20_000));
            assertThat(gateway.call(request("POST", "/order/x", "a1", "", "crates")))
                    .startsWith("HTTP/1.1 503")
                    .contains("not-run");
            assertThat(target.received).isEmpty();
        }
    }

    /** Guards against a request being passed on that the end of the process is bound to cut off. */
    @Test
    void aRequestThatCannotEndWithinTheDrainIsRefusedAsNotRun() throws Exception {
        try (FakeTarget target = new FakeTarget((received, connection) -> {
                    FakeTarget.write(connection, FakeTarget.answer(received.id(), "crates"));
                    return true;
                });
                GatewayHarness gateway = new GatewayHarness(target)) {
            gateway.beginDrain(new DrainSchedule(20_000, 20_000, 20_000, 20_000));
            assertThat(gateway.call(request("POST", "/generate/x", "a1", "Token-Counts: 100,40000\r\n", "prompt")))
                    .startsWith("HTTP/1.1 503")
                    .containsIgnoringCase("retry-after: 0.02")
                    .contains("not-run");
            assertThat(target.received).isEmpty();
            assertThat(gateway.call(request("POST", "/generate/x", "a2", "Token-Counts: 100,40\r\n", "prompt")))
                    .startsWith("HTTP/1.1 200");
        }
    }

    /** Guards against requests on connections that wait to be accepted being cut off when the port is closed. */
    @Test
    void aConnectionThatWaitsToBeAcceptedWhenTheDrainEndsIsRefusedAsNotRun() throws Exception {
        try (GatewayHarness gateway = new GatewayHarness()) {
            CountDownLatch stallOver = new CountDownLatch(1);
            gateway.stallUntil(stallOver);
            CompletableFuture<Void> drain =
                    CompletableFuture.runAsync(() -> gateway.drain(new DrainSchedule(0, 0, 0, 20_000)));
            try (Socket caller = gateway.connect()) {
                caller.getOutputStream()
                        .write(request("POST", "/order/x", "a1", "", "crates").getBytes(StandardCharsets.UTF_8));
                // Enough for the first check to wait for the event loop.
                Thread.sleep(500);
                stallOver.countDown();
                assertThat(GatewayHarness.readAll(caller.getInputStream()))
                        .startsWith("HTTP/1.1 503")
                        .contains("not-run");
            }
            drain.get();
        }
    }
}
