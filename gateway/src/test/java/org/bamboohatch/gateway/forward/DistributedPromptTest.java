package org.bamboohatch.gateway.forward;

import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.BooleanSupplier;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

import static org.assertj.core.api.Assertions.assertThat;
import static org.bamboohatch.gateway.forward.FakeTarget.chunk;
import static org.bamboohatch.gateway.forward.FakeTarget.streamHead;
import static org.bamboohatch.gateway.forward.FakeTarget.write;
import static org.bamboohatch.gateway.forward.GatewayHarness.request;

/** A prompt that exceeds the memory of one engine: memory for parts of it is reserved at other engines first. */
@Timeout(30)
class DistributedPromptTest {

    private static final String OVERSIZED_PROMPT = "Token-Counts: 400000,800\r\n";

    private static boolean isMemoryCommand(FakeTarget.ReceivedRequest received) {
        return received.line().startsWith("POST /v1/memory");
    }

    private static String body(FakeTarget.ReceivedRequest received) {
        return new String(received.body(), StandardCharsets.UTF_8);
    }

    private static boolean serve(FakeTarget.ReceivedRequest received, Socket connection) throws java.io.IOException {
        if (isMemoryCommand(received)) {
            write(connection, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}");
        } else {
            write(connection, streamHead(received.id(), "seal") + chunk("id: 1\ndata: x\n\n") + "0\r\n\r\n");
        }
        return true;
    }

    private static List<String> memoryCommands(FakeTarget target) {
        return target.received.stream()
                .filter(DistributedPromptTest::isMemoryCommand)
                .map(DistributedPromptTest::body)
                .toList();
    }

    private static void await(BooleanSupplier condition) throws InterruptedException {
        while (!condition.getAsBoolean()) {
            TimeUnit.MILLISECONDS.sleep(5);
        }
    }

    @Test
    void memoryIsReservedBeforeThePromptIsSentAndReleasedAfterTheResponse() throws Exception {
        try (FakeTarget first = new FakeTarget(DistributedPromptTest::serve);
                FakeTarget second = new FakeTarget(DistributedPromptTest::serve);
                FakeTarget third = new FakeTarget(DistributedPromptTest::serve);
                GatewayHarness gateway = new GatewayHarness(first, second, third)) {
            String text = gateway.call(request("POST", "/generate/x", "a1", OVERSIZED_PROMPT, "prompt"));
            assertThat(text).startsWith("HTTP/1.1 200").contains("data: x");
            List<FakeTarget> targets = List.of(first, second, third);
            FakeTarget responding = targets.stream()
                    .filter(target -> target.received.stream().anyMatch(received -> !isMemoryCommand(received)))
                    .findFirst()
                    .orElseThrow();
            FakeTarget.ReceivedRequest prompt = responding.received.stream()
                    .filter(received -> !isMemoryCommand(received))
                    .findFirst()
                    .orElseThrow();
            assertThat(memoryCommands(responding)).isEmpty();
            for (FakeTarget helper : targets) {
                if (helper != responding) {
                    await(() -> memoryCommands(helper).size() == 2);
                    assertThat(memoryCommands(helper).get(0)).contains("\"reserve\"", "\"tokens\":133");
                    assertThat(memoryCommands(helper).get(1)).contains("\"release\"");
                    assertThat(prompt.headers().get("reading-helpers")).contains(helper.address() + "/gateway-1-");
                }
            }
        }
    }

    @Test
    void aPromptIsRefusedWithoutRunningWhenNoEngineHasMemory() throws Exception {
        FakeTarget.Script noMemory = (received, connection) -> {
            write(connection, "HTTP/1.1 409 Full\r\nContent-Length: 0\r\n\r\n");
            return true;
        };
        try (FakeTarget first = new FakeTarget(noMemory);
                FakeTarget second = new FakeTarget(noMemory);
                FakeTarget third = new FakeTarget(noMemory);
                GatewayHarness gateway = new GatewayHarness(first, second, third)) {
            String text = gateway.call(request("POST", "/generate/x", "a1", OVERSIZED_PROMPT, "prompt"));
            assertThat(text)
                    .startsWith("HTTP/1.1 503")
                    .containsIgnoringCase("retry-after")
                    .contains("not-run");
            for (FakeTarget target : List.of(first, second, third)) {
                assertThat(target.received).allMatch(DistributedPromptTest::isMemoryCommand);
            }
        }
    }

    @Test
    void anEngineReportedAsFailedByAnotherIsExcluded() throws Exception {
        AtomicInteger calls = new AtomicInteger();
        FakeTarget[] targets = new FakeTarget[5];
        StringBuilder failedAddress = new StringBuilder();
        FakeTarget.Script script = (received, connection) -> {
            if (isMemoryCommand(received) || calls.getAndIncrement() > 0) {
                return serve(received, connection);
            }
            String helpers = received.headers().get("reading-helpers");
            failedAddress.append(helpers, 0, helpers.indexOf('/'));
            write(
                    connection,
                    "HTTP/1.1 503 Stalled\r\nRequest-Id: " + received.id() + "\r\nNot-Executed: 1\r\nFaulty-Target: "
                            + failedAddress + "\r\nContent-Length: 0\r\n\r\n");
            return true;
        };
        for (int number = 0; number < targets.length; number++) {
            targets[number] = new FakeTarget(script);
        }
        try (GatewayHarness gateway = new GatewayHarness(targets)) {
            String text = gateway.call(request("POST", "/generate/x", "a1", OVERSIZED_PROMPT, "prompt"));
            assertThat(text).startsWith("HTTP/1.1 200");
            List<String> helpers = List.of(targets).stream()
                    .flatMap(target -> target.received.stream())
                    .filter(received -> !isMemoryCommand(received))
                    .map(received -> received.headers().get("reading-helpers"))
                    .toList();
            assertThat(helpers).hasSize(2);
            assertThat(helpers)
                    .filteredOn(each -> !each.contains(failedAddress))
                    .hasSize(1);
        } finally {
            for (FakeTarget target : targets) {
                target.close();
            }
        }
    }
}
