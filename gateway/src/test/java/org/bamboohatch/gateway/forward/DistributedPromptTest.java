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

/** A prompt over one engine's memory: parts of it are set aside at other engines before it is sent. */
@Timeout(30)
class DistributedPromptTest {

    private static final String HUGE = "Token-Counts: 400000,800\r\n";

    private static boolean isOrder(FakeTarget.Seen seen) {
        return seen.line().startsWith("POST /v1/memory");
    }

    private static String body(FakeTarget.Seen seen) {
        return new String(seen.body(), StandardCharsets.UTF_8);
    }

    private static boolean serve(FakeTarget.Seen seen, Socket connection) throws java.io.IOException {
        if (isOrder(seen)) {
            write(connection, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}");
        } else {
            write(connection, streamHead(seen.id(), "seal") + chunk("id: 1\ndata: x\n\n") + "0\r\n\r\n");
        }
        return true;
    }

    private static List<String> orders(FakeTarget target) {
        return target.seen.stream()
                .filter(DistributedPromptTest::isOrder)
                .map(DistributedPromptTest::body)
                .toList();
    }

    private static void await(BooleanSupplier condition) throws InterruptedException {
        while (!condition.getAsBoolean()) {
            TimeUnit.MILLISECONDS.sleep(5);
        }
    }

    @Test
    void partsAreSetAsideBeforeThePromptIsSentAndFreedAfterItsAnswer() throws Exception {
        try (FakeTarget first = new FakeTarget(DistributedPromptTest::serve);
                FakeTarget second = new FakeTarget(DistributedPromptTest::serve);
                FakeTarget third = new FakeTarget(DistributedPromptTest::serve);
                GatewayHarness gateway = new GatewayHarness(first, second, third)) {
            String text = gateway.call(request("POST", "/generate/x", "a1", HUGE, "prompt"));
            assertThat(text).startsWith("HTTP/1.1 200").contains("data: x");
            List<FakeTarget> targets = List.of(first, second, third);
            FakeTarget writer = targets.stream()
                    .filter(target -> target.seen.stream().anyMatch(seen -> !isOrder(seen)))
                    .findFirst()
                    .orElseThrow();
            FakeTarget.Seen prompt = writer.seen.stream()
                    .filter(seen -> !isOrder(seen))
                    .findFirst()
                    .orElseThrow();
            assertThat(orders(writer)).isEmpty();
            for (FakeTarget holder : targets) {
                if (holder != writer) {
                    await(() -> orders(holder).size() == 2);
                    assertThat(orders(holder).get(0)).contains("\"reserve\"", "\"tokens\":133");
                    assertThat(orders(holder).get(1)).contains("\"release\"");
                    assertThat(prompt.headers().get("reading-helpers")).contains(holder.address() + "/gateway-1-");
                }
            }
        }
    }

    @Test
    void aPromptIsRefusedAndNothingStaysSetAsideWhenAnEngineHasNoMemory() throws Exception {
        FakeTarget.Script full = (seen, connection) -> {
            write(connection, "HTTP/1.1 409 Full\r\nContent-Length: 0\r\n\r\n");
            return true;
        };
        try (FakeTarget first = new FakeTarget(full);
                FakeTarget second = new FakeTarget(full);
                FakeTarget third = new FakeTarget(full);
                GatewayHarness gateway = new GatewayHarness(first, second, third)) {
            String text = gateway.call(request("POST", "/generate/x", "a1", HUGE, "prompt"));
            assertThat(text)
                    .startsWith("HTTP/1.1 503")
                    .containsIgnoringCase("retry-after")
                    .contains("not-run");
            for (FakeTarget target : List.of(first, second, third)) {
                assertThat(target.seen).allMatch(DistributedPromptTest::isOrder);
            }
        }
    }

    @Test
    void anEngineThatAnotherOneFoundAtFaultIsNotAskedAgain() throws Exception {
        AtomicInteger calls = new AtomicInteger();
        FakeTarget[] targets = new FakeTarget[5];
        StringBuilder faulty = new StringBuilder();
        FakeTarget.Script script = (seen, connection) -> {
            if (isOrder(seen) || calls.getAndIncrement() > 0) {
                return serve(seen, connection);
            }
            String helpers = seen.headers().get("reading-helpers");
            faulty.append(helpers, 0, helpers.indexOf('/'));
            write(
                    connection,
                    "HTTP/1.1 503 Stalled\r\nRequest-Id: " + seen.id() + "\r\nNot-Executed: 1\r\nFaulty-Target: "
                            + faulty + "\r\nContent-Length: 0\r\n\r\n");
            return true;
        };
        for (int number = 0; number < targets.length; number++) {
            targets[number] = new FakeTarget(script);
        }
        try (GatewayHarness gateway = new GatewayHarness(targets)) {
            String text = gateway.call(request("POST", "/generate/x", "a1", HUGE, "prompt"));
            assertThat(text).startsWith("HTTP/1.1 200");
            List<String> helpers = List.of(targets).stream()
                    .flatMap(target -> target.seen.stream())
                    .filter(seen -> !isOrder(seen))
                    .map(seen -> seen.headers().get("reading-helpers"))
                    .toList();
            assertThat(helpers).hasSize(2);
            assertThat(helpers).filteredOn(each -> !each.contains(faulty)).hasSize(1);
        } finally {
            for (FakeTarget target : targets) {
                target.close();
            }
        }
    }
}
