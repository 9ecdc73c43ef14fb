package org.bamboohatch.gateway.forward;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Semaphore;
import java.util.stream.Stream;

import org.bamboohatch.gateway.buffer.BufferBudget;
import org.bamboohatch.gateway.buffer.GatewayBuffers;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;
import static org.bamboohatch.gateway.forward.FakeTarget.answer;
import static org.bamboohatch.gateway.forward.FakeTarget.streamHead;
import static org.bamboohatch.gateway.forward.FakeTarget.write;
import static org.bamboohatch.gateway.forward.GatewayHarness.request;

/** Many incomplete responses, each of a permitted size, fill the memory of the gateway together. */
@Timeout(60)
class ManyEndlessResponsesTest {

    private static final int REQUESTS = 40;

    private static final int CAPACITY_BYTES = 1024 * 1024;

    /** Size of what the targets send of each response before they pause. */
    private static final int PART_BYTES = 300_000;

    /** What each response may add to full buffers, because its size is checked after a read. */
    private static final int READ_BYTES = 64 * 1024;

    /** Number of fields of a head. */
    private static final int FIELDS = 12_000;

    private final BufferBudget requests = new BufferBudget(CAPACITY_BYTES, 1);

    private final BufferBudget responses = new BufferBudget(CAPACITY_BYTES, 0.125);

    /** Grants one permit for each response that its target has sent as far as it does, or that was closed. */
    private final Semaphore sent = new Semaphore(0);

    static Stream<Arguments> heads() {
        return Stream.of(
                Arguments.of(
                        "event without an end", streamHead("a", "s").replace("Transfer-Encoding: chunked\r\n", "")),
                Arguments.of("body without an end", "HTTP/1.1 200 OK\r\nRequest-Id: a\r\nAnswer-Seal: s\r\n\r\n"));
    }

    private FakeTarget.Script incomplete(String head, String body) {
        return (received, connection) -> {
            if (received.id().equals("sound")) {
                write(connection, answer("sound", "body"));
                return true;
            }
            try {
                write(connection, head.replace("Request-Id: a", "Request-Id: " + received.id()) + body);
            } finally {
                sent.release();
            }
            Thread.sleep(60_000);
            return false;
        };
    }

    @ParameterizedTest(name = "{0}")
    @MethodSource("heads")
    void incompleteResponsesDoNotExceedTheBuffersAndOtherRequestsAreServed(String name, String head) throws Exception {
        try (FakeTarget target = new FakeTarget(incomplete(head, "x".repeat(PART_BYTES)));
                GatewayHarness gateway = new GatewayHarness(new GatewayBuffers(requests, responses), target)) {
            List<Socket> callers = new ArrayList<>();
            for (int number = 0; number < REQUESTS; number++) {
                callers.add(send(gateway, request("POST", "/order/x", "a" + number, "", "crates")));
            }
            sent.acquire(REQUESTS);
            assertThat(gateway.call(request("GET", "/read/x", "sound", "", ""))).endsWith("body");
            assertThat(gateway.onLoop(responses::heldBytes))
                    .as(name)
                    .isLessThan(CAPACITY_BYTES + REQUESTS * READ_BYTES);
            for (Socket caller : callers) {
                caller.close();
            }
            awaitRelease(gateway);
        }
    }

    @ParameterizedTest(name = "followed by: {0}")
    @ValueSource(strings = {"", "Content-Length: 9\r\n\r\n"})
    void headsWithManyFieldsDoNotExceedTheBuffersAndOtherRequestsAreServed(String end) throws Exception {
        String head = "HTTP/1.1 200 OK\r\nRequest-Id: a\r\nAnswer-Seal: s\r\n" + "a:\r\n".repeat(FIELDS) + end;
        try (FakeTarget target = new FakeTarget(incomplete(head, ""));
                GatewayHarness gateway = new GatewayHarness(new GatewayBuffers(requests, responses), target)) {
            List<Socket> callers = new ArrayList<>();
            for (int number = 0; number < REQUESTS; number++) {
                callers.add(send(gateway, request("POST", "/order/x", "a" + number, "", "crates")));
            }
            sent.acquire(REQUESTS);
            assertThat(gateway.call(request("GET", "/read/x", "sound", "", ""))).endsWith("body");
            for (Socket caller : callers) {
                assertThat(GatewayHarness.readAll(caller.getInputStream())).contains("large head of an answer");
                caller.close();
            }
            awaitRelease(gateway);
        }
    }

    @Test
    void smallRequestsAndResponsesFindRoomInFullBuffers() throws Exception {
        requests.open().set(2 * CAPACITY_BYTES);
        responses.open().set(2 * CAPACITY_BYTES);
        try (FakeTarget target = new FakeTarget(incomplete("", ""));
                GatewayHarness gateway = new GatewayHarness(new GatewayBuffers(requests, responses), target)) {
            assertThat(gateway.call(request("POST", "/read/x", "sound", "", "crates")))
                    .endsWith("body");
        }
    }

    /** Everything is given back at the end of the requests. */
    private void awaitRelease(GatewayHarness gateway) throws Exception {
        while (gateway.onLoop(responses::heldBytes) > 0) {
            Thread.sleep(5);
        }
    }

    private static Socket send(GatewayHarness gateway, String request) throws IOException {
        Socket caller = gateway.connect();
        caller.getOutputStream().write(request.getBytes(StandardCharsets.UTF_8));
        return caller;
    }
}
