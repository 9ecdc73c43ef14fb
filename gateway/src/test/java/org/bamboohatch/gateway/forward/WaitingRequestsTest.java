package org.bamboohatch.gateway.forward;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CountDownLatch;
import java.util.function.BooleanSupplier;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

import static org.assertj.core.api.Assertions.assertThat;
import static org.bamboohatch.gateway.forward.FakeTarget.chunk;
import static org.bamboohatch.gateway.forward.FakeTarget.streamHead;
import static org.bamboohatch.gateway.forward.FakeTarget.write;
import static org.bamboohatch.gateway.forward.GatewayHarness.readAll;
import static org.bamboohatch.gateway.forward.GatewayHarness.request;

/** Long prompts wait at the gateway while the only engine prefills another one for 1.5 s. */
@Timeout(30)
class WaitingRequestsTest {

    private static final int MAXIMUM_WAITING = 8;

    private static final String LONG = "Token-Counts: 100000,100\r\n";

    private static final String SHORT = "Token-Counts: 4000,100\r\n";

    private final CountDownLatch firstEnds = new CountDownLatch(1);

    /** Answers at once, except for the request with id "first". */
    private boolean serve(FakeTarget.ReceivedRequest received, Socket connection)
            throws IOException, InterruptedException {
        if (received.id().equals("first")) {
            firstEnds.await();
        }
        write(connection, streamHead(received.id(), "s") + chunk("id: 1\ndata: x\n\n") + "0\r\n\r\n");
        return true;
    }

    private static void send(Socket caller, String id, String counts) throws IOException {
        caller.getOutputStream()
                .write(request("POST", "/generate/x", id, counts, "prompt").getBytes(StandardCharsets.UTF_8));
    }

    private static void await(BooleanSupplier condition) throws InterruptedException {
        while (!condition.getAsBoolean()) {
            Thread.sleep(1);
        }
    }

    private static double waiting(GatewayHarness gateway) {
        return gateway.registry.find("gateway.waiting").gauges().stream()
                .mapToDouble(gauge -> gauge.value())
                .sum();
    }

    /** Sends a prompt that occupies the engine, and one that waits for it. */
    private static void sendTwo(GatewayHarness gateway, FakeTarget engine, Socket first, Socket second)
            throws IOException, InterruptedException {
        send(first, "first", LONG);
        await(() -> !engine.received.isEmpty());
        send(second, "second", LONG);
        await(() -> waiting(gateway) == 1);
    }

    /** Guards against a request that is sent though nobody waits for its response. */
    @Test
    void aRequestWhoseCallerLeavesWhileItWaitsIsNotSent() throws Exception {
        try (FakeTarget engine = new FakeTarget(this::serve);
                GatewayHarness gateway = new GatewayHarness(MAXIMUM_WAITING, engine);
                Socket first = gateway.connect();
                Socket second = gateway.connect()) {
            sendTwo(gateway, engine, first, second);
            second.close();
            await(() -> waiting(gateway) == 0);
            firstEnds.countDown();
            assertThat(readAll(first.getInputStream())).contains("data: x");
            assertThat(gateway.call(request("POST", "/generate/x", "third", LONG, "prompt")))
                    .contains("data: x");
            assertThat(engine.received)
                    .extracting(FakeTarget.ReceivedRequest::id)
                    .containsExactly("first", "third");
        }
    }

    /** Guards against waiting requests that are cut off by the end of the process, or that run after the stop. */
    @Test
    void aGatewayThatStopsRefusesWaitingRequestsAsNotRun() throws Exception {
        try (FakeTarget engine = new FakeTarget(this::serve);
                GatewayHarness gateway = new GatewayHarness(MAXIMUM_WAITING, engine);
                Socket first = gateway.connect();
                Socket second = gateway.connect()) {
            sendTwo(gateway, engine, first, second);
            gateway.onLoop(() -> {
                gateway.forwarder.stopAdmitting();
                return 0;
            });
            assertThat(readAll(second.getInputStream()))
                    .startsWith("HTTP/1.1 503")
                    .containsIgnoringCase("retry-after: 0.02")
                    .contains("not-run");
            firstEnds.countDown();
            assertThat(readAll(first.getInputStream())).contains("data: x");
            assertThat(engine.received).hasSize(1);
        }
    }

    /** Guards against short questions behind long prompts, and against prompts that wait in vain. */
    @Test
    void aShortQuestionOvertakesAndAPromptThatWouldBeTooLateIsRefused() throws Exception {
        try (FakeTarget engine = new FakeTarget(this::serve);
                GatewayHarness gateway = new GatewayHarness(MAXIMUM_WAITING, engine);
                Socket first = gateway.connect();
                Socket second = gateway.connect()) {
            sendTwo(gateway, engine, first, second);
            assertThat(gateway.call(request("POST", "/generate/x", "short", SHORT, "prompt")))
                    .contains("data: x");
            assertThat(gateway.call(request("POST", "/generate/x", "third", LONG, "prompt")))
                    .startsWith("HTTP/1.1 503")
                    .containsIgnoringCase("retry-after: ")
                    .contains("not-run", "overloaded");
            assertThat(gateway.registry
                            .get("gateway.overloaded")
                            .tag("reason", "too-late")
                            .counter()
                            .count())
                    .isOne();
            assertThat(readAll(second.getInputStream())).contains("data: x");
            firstEnds.countDown();
            assertThat(readAll(first.getInputStream())).contains("data: x");
            assertThat(engine.received)
                    .extracting(FakeTarget.ReceivedRequest::id)
                    .containsExactly("first", "short", "second");
        }
    }
}
