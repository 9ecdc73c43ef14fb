package org.bamboohatch.gateway.forward;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

import static org.assertj.core.api.Assertions.assertThat;
import static org.bamboohatch.gateway.forward.FakeTarget.answer;
import static org.bamboohatch.gateway.forward.FakeTarget.chunk;
import static org.bamboohatch.gateway.forward.FakeTarget.streamHead;
import static org.bamboohatch.gateway.forward.FakeTarget.write;
import static org.bamboohatch.gateway.forward.GatewayHarness.request;

/**
 * Guards against anything new that is sent to an evacuated availability zone, and against the loss of what runs there when
 * the order comes.
 */
@Timeout(30)
class EvacuatedZoneTest {

    private static final String OVERSIZED_PROMPT = "Token-Counts: 400000,800\r\n";

    private static final String FIRST_EVENT = chunk("id: 1\ndata: a\n\n");

    private static final String LAST_EVENT = chunk("id: 2\ndata: b\n\n") + "0\r\n\r\n";

    private static boolean serve(FakeTarget.ReceivedRequest received, Socket connection) throws IOException {
        if (isMemoryCommand(received)) {
            write(connection, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}");
        } else if (received.line().contains("/generate/")) {
            write(connection, streamHead(received.id(), "seal") + FIRST_EVENT + LAST_EVENT);
        } else {
            write(connection, answer(received.id(), "body of " + received.id()));
        }
        return true;
    }

    private static boolean isMemoryCommand(FakeTarget.ReceivedRequest received) {
        return received.line().startsWith("POST /v1/memory");
    }

    private static boolean isReservation(FakeTarget.ReceivedRequest received) {
        return isMemoryCommand(received) && new String(received.body(), StandardCharsets.UTF_8).contains("\"reserve\"");
    }

    private static long reservations(FakeTarget target) {
        return target.received.stream().filter(EvacuatedZoneTest::isReservation).count();
    }

    private static List<FakeTarget.ReceivedRequest> prompts(FakeTarget... targets) {
        return Arrays.stream(targets)
                .flatMap(target -> target.received.stream())
                .filter(received -> !isMemoryCommand(received))
                .toList();
    }

    private static void await(BooleanSupplier condition) throws InterruptedException {
        while (!condition.getAsBoolean()) {
            TimeUnit.MILLISECONDS.sleep(5);
        }
    }

    private static CompletableFuture<String> callAsync(GatewayHarness gateway, String request) {
        return CompletableFuture.supplyAsync(() -> {
            try {
                return gateway.call(request);
            } catch (IOException failed) {
                throw new IllegalStateException(failed);
            }
        });
    }

    private static void announce(GatewayHarness gateway, List<String> zones, FakeTarget... targets) throws Exception {
        gateway.zones = zones;
        gateway.apply(targets);
    }

    @Test
    void newRequestsGoToOtherZonesUntilTheEvacuationEnds() throws Exception {
        try (FakeTarget first = new FakeTarget(EvacuatedZoneTest::serve);
                FakeTarget second = new FakeTarget(EvacuatedZoneTest::serve);
                GatewayHarness gateway = new GatewayHarness()) {
            announce(gateway, List.of("zone-a", "zone-b"), first, second);
            gateway.evacuate("zone-a");
            for (int number = 0; number < 10; number++) {
                assertThat(gateway.call(request("GET", "/read/x", "a" + number, "", "")))
                        .startsWith("HTTP/1.1 200");
            }
            assertThat(first.received).isEmpty();
            assertThat(second.received).hasSize(10);
            gateway.evacuate("zone-b");
            assertThat(gateway.call(request("GET", "/read/x", "b", "", ""))).startsWith("HTTP/1.1 200");
            assertThat(first.received).hasSize(1);
        }
    }

    @Test
    void requestsAreRefusedAsNotRunIfAllZonesAreEvacuated() throws Exception {
        try (FakeTarget first = new FakeTarget(EvacuatedZoneTest::serve);
                FakeTarget second = new FakeTarget(EvacuatedZoneTest::serve);
                GatewayHarness gateway = new GatewayHarness()) {
            announce(gateway, List.of("zone-a", "zone-b"), first, second);
            gateway.evacuate("zone-a", "zone-b");
            assertThat(gateway.call(request("POST", "/order/x", "a1", "", "crates")))
                    .startsWith("HTTP/1.1 503")
                    .contains("not-run")
                    .containsIgnoringCase("retry-after");
            assertThat(prompts(first, second)).isEmpty();
            gateway.evacuate();
            assertThat(gateway.call(request("POST", "/order/x", "a2", "", "crates")))
                    .startsWith("HTTP/1.1 200");
        }
    }

    @Test
    void failedRequestsAreNotSentAgainToAnEvacuatedZone() throws Exception {
        FakeTarget.Script failing = (received, connection) -> {
            write(connection, "HTTP/1.1 500 Broken\r\nRequest-Id: " + received.id() + "\r\nContent-Length: 0\r\n\r\n");
            return true;
        };
        FakeTarget.Script cutting = (received, connection) -> {
            write(connection, streamHead(received.id(), "first") + FIRST_EVENT);
            return false;
        };
        for (FakeTarget.Script script : List.of(failing, cutting)) {
            try (FakeTarget first = new FakeTarget(script);
                    FakeTarget second = new FakeTarget(EvacuatedZoneTest::serve);
                    GatewayHarness gateway = new GatewayHarness()) {
                announce(gateway, List.of("zone-a", "zone-b"), first, second);
                gateway.evacuate("zone-b");
                gateway.call(request("GET", "/read/x", "a1", "", ""));
                gateway.call(request("POST", "/stream/x", "a2", "", "prompt"));
                assertThat(first.received).hasSize(2);
                assertThat(second.received).isEmpty();
            }
        }
    }

    @Test
    void aStreamThatRunsInAnEvacuatedZoneContinuesThere() throws Exception {
        CountDownLatch evacuated = new CountDownLatch(1);
        FakeTarget.Script streaming = (received, connection) -> {
            write(connection, streamHead(received.id(), "seal") + FIRST_EVENT);
            evacuated.await();
            write(connection, LAST_EVENT);
            return true;
        };
        try (FakeTarget target = new FakeTarget(streaming);
                GatewayHarness gateway = new GatewayHarness(target)) {
            CompletableFuture<String> response = callAsync(gateway, request("POST", "/stream/x", "a1", "", "prompt"));
            await(() -> !target.received.isEmpty());
            gateway.evacuate("zone-a");
            evacuated.countDown();
            assertThat(response.get())
                    .startsWith("HTTP/1.1 200")
                    .contains("data: b")
                    .endsWith("0\r\n\r\n");
        }
    }

    @Test
    void enginesInAnEvacuatedZoneAreNeitherHelpersNorReserved() throws Exception {
        FakeTarget[] targets = new FakeTarget[5];
        for (int number = 0; number < targets.length; number++) {
            targets[number] = new FakeTarget(EvacuatedZoneTest::serve);
        }
        try (GatewayHarness gateway = new GatewayHarness()) {
            announce(gateway, List.of("zone-b", "zone-a", "zone-a", "zone-a", "zone-b"), targets);
            gateway.evacuate("zone-b");
            assertThat(gateway.call(request("POST", "/generate/x", "a1", OVERSIZED_PROMPT, "prompt")))
                    .startsWith("HTTP/1.1 200");
            assertThat(targets[0].received).isEmpty();
            assertThat(targets[4].received).isEmpty();
            assertThat(prompts(targets)).singleElement().satisfies(prompt -> assertThat(
                            prompt.headers().get("reading-helpers"))
                    .doesNotContain(targets[0].address())
                    .doesNotContain(targets[4].address()));
        } finally {
            for (FakeTarget target : targets) {
                target.close();
            }
        }
    }

    /** The order arrives between the choice of the targets and the send. */
    @Test
    void aPromptIsPlacedAgainIfTheZoneOfAHelperIsEvacuatedBeforeItIsSent() throws Exception {
        CountDownLatch evacuated = new CountDownLatch(1);
        FakeTarget.Script holding = (received, connection) -> {
            evacuated.await();
            return serve(received, connection);
        };
        FakeTarget[] targets = new FakeTarget[5];
        for (int number = 0; number < targets.length; number++) {
            targets[number] = new FakeTarget(holding);
        }
        try (GatewayHarness gateway = new GatewayHarness()) {
            announce(gateway, List.of("zone-0", "zone-1", "zone-2", "zone-3", "zone-4"), targets);
            CompletableFuture<String> response =
                    callAsync(gateway, request("POST", "/generate/x", "a1", OVERSIZED_PROMPT, "prompt"));
            await(() -> Arrays.stream(targets).anyMatch(target -> reservations(target) > 0));
            int helper = 0;
            while (reservations(targets[helper]) == 0) {
                helper++;
            }
            gateway.evacuate("zone-" + helper);
            evacuated.countDown();
            assertThat(response.get()).startsWith("HTTP/1.1 200");
            String evacuatedAddress = targets[helper].address();
            assertThat(prompts(targets)).singleElement().satisfies(prompt -> assertThat(
                            prompt.headers().get("reading-helpers"))
                    .doesNotContain(evacuatedAddress));
            assertThat(prompts(targets[helper])).isEmpty();
            FakeTarget former = targets[helper];
            await(() -> former.received.size() > 1);
            assertThat(reservations(former))
                    .as("the second command is a release")
                    .isEqualTo(1);
        } finally {
            for (FakeTarget target : targets) {
                target.close();
            }
        }
    }

    @Test
    void aPromptIsNotSentIfAllZonesAreEvacuatedBeforeThat() throws Exception {
        CountDownLatch evacuated = new CountDownLatch(1);
        FakeTarget.Script holding = (received, connection) -> {
            evacuated.await();
            return serve(received, connection);
        };
        try (FakeTarget first = new FakeTarget(holding);
                FakeTarget second = new FakeTarget(holding);
                FakeTarget third = new FakeTarget(holding);
                GatewayHarness gateway = new GatewayHarness(first, second, third)) {
            CompletableFuture<String> response =
                    callAsync(gateway, request("POST", "/generate/x", "a1", OVERSIZED_PROMPT, "prompt"));
            await(() -> reservations(first) + reservations(second) + reservations(third) > 0);
            gateway.evacuate("zone-a");
            evacuated.countDown();
            assertThat(response.get()).startsWith("HTTP/1.1 503").contains("not-run");
            assertThat(prompts(first, second, third)).isEmpty();
        }
    }

    /** The order arrives while the connections for the reservations are being opened. */
    @Test
    void noMemoryIsReservedIfTheZoneIsEvacuatedBeforeTheConnectionIsOpen() throws Exception {
        try (FakeTarget first = new FakeTarget(EvacuatedZoneTest::serve);
                FakeTarget second = new FakeTarget(EvacuatedZoneTest::serve);
                FakeTarget third = new FakeTarget(EvacuatedZoneTest::serve);
                GatewayHarness gateway = new GatewayHarness(first, second, third)) {
            gateway.evacuateAfterPlacement("zone-a");
            assertThat(gateway.call(request("POST", "/generate/x", "a1", OVERSIZED_PROMPT, "prompt")))
                    .startsWith("HTTP/1.1 503")
                    .contains("not-run");
            assertThat(reservations(first) + reservations(second) + reservations(third))
                    .isZero();
            assertThat(prompts(first, second, third)).isEmpty();
        }
    }

    /** The order arrives while the connection for the request is being opened. */
    @Test
    void aRequestIsNotSentIfTheZoneOfItsTargetIsEvacuatedBeforeTheConnectionIsOpen() throws Exception {
        try (FakeTarget first = new FakeTarget(EvacuatedZoneTest::serve);
                FakeTarget second = new FakeTarget(EvacuatedZoneTest::serve);
                GatewayHarness gateway = new GatewayHarness(first, second)) {
            gateway.evacuateAfterPlacement("zone-a");
            assertThat(gateway.call(request("POST", "/order/x", "a1", "", "crates")))
                    .startsWith("HTTP/1.1 503")
                    .contains("not-run");
            assertThat(prompts(first, second)).isEmpty();
        }
    }

    /** A prompt that runs would otherwise lose the parts that evacuated engines hold for it. */
    @Test
    void memoryThatARunningPromptHoldsInAnEvacuatedZoneIsRenewedAndReleased() throws Exception {
        CountDownLatch renewed = new CountDownLatch(1);
        FakeTarget.Script streaming = (received, connection) -> {
            if (isMemoryCommand(received)) {
                return serve(received, connection);
            }
            write(connection, streamHead(received.id(), "seal") + FIRST_EVENT);
            renewed.await();
            write(connection, LAST_EVENT);
            return true;
        };
        try (FakeTarget first = new FakeTarget(streaming);
                FakeTarget second = new FakeTarget(streaming);
                FakeTarget third = new FakeTarget(streaming);
                GatewayHarness gateway = new GatewayHarness(first, second, third)) {
            CompletableFuture<String> response =
                    callAsync(gateway, request("POST", "/generate/x", "a1", OVERSIZED_PROMPT, "prompt"));
            await(() -> !prompts(first, second, third).isEmpty());
            gateway.evacuate("zone-a");
            List<FakeTarget> helpers = List.of(first, second, third).stream()
                    .filter(target -> reservations(target) > 0)
                    .toList();
            assertThat(helpers).hasSize(2);
            for (FakeTarget helper : helpers) {
                await(() -> reservations(helper) >= 2);
            }
            renewed.countDown();
            assertThat(response.get()).startsWith("HTTP/1.1 200").contains("data: b");
            for (FakeTarget helper : helpers) {
                await(() -> helper.received.stream()
                        .anyMatch(received -> isMemoryCommand(received) && !isReservation(received)));
            }
        }
    }
}
