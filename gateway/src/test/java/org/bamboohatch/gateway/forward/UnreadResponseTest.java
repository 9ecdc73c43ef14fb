package org.bamboohatch.gateway.forward;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

import org.bamboohatch.gateway.buffer.BufferBudget;
import org.bamboohatch.gateway.buffer.GatewayBuffers;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

import static org.assertj.core.api.Assertions.assertThat;
import static org.bamboohatch.gateway.forward.FakeTarget.answer;
import static org.bamboohatch.gateway.forward.FakeTarget.write;
import static org.bamboohatch.gateway.forward.GatewayHarness.request;

/** Callers that do not read their responses occupy the memory of the gateway. */
@Timeout(30)
class UnreadResponseTest {

    private static final int REQUESTS = 40;

    /** Requests on other connections, during which the gateway could serve all those of the caller. */
    private static final int OTHER_REQUESTS = 12;

    /** Size of a response, which is buffered until it is complete. */
    private static final int BODY_BYTES = 1_000_000;

    private static final int CAPACITY_BYTES = 64 * 1024 * 1024;

    private final BufferBudget requests = new BufferBudget(CAPACITY_BYTES, 1);

    private final BufferBudget responses = new BufferBudget(CAPACITY_BYTES, 1);

    private static boolean serve(FakeTarget.ReceivedRequest received, Socket connection) throws IOException {
        write(connection, answer(received.id(), "x".repeat(BODY_BYTES)));
        return true;
    }

    /** Sends so many requests on one connection that their responses exceed the buffers of the operating system. */
    private static Socket sendPipelined(GatewayHarness gateway) throws IOException {
        Socket caller = gateway.connectWithSmallWindow();
        sendPipelined(caller);
        return caller;
    }

    private static void sendPipelined(Socket caller) throws IOException {
        String each = request("GET", "/read/x", "a", "", "").replace("Connection: close\r\n", "");
        String last = each.replace("Request-Id: a", "Connection: close\r\nRequest-Id: last");
        caller.getOutputStream().write((each.repeat(REQUESTS) + last).getBytes(StandardCharsets.UTF_8));
    }

    @Test
    void pipelinedResponsesThatAreNotReadDoNotPileUp() throws Exception {
        try (FakeTarget target = new FakeTarget(UnreadResponseTest::serve);
                GatewayHarness gateway = new GatewayHarness(new GatewayBuffers(requests, responses), target);
                Socket caller = sendPipelined(gateway)) {
            long heldBytes = 0;
            for (int call = 0; call < OTHER_REQUESTS; call++) {
                gateway.call(request("GET", "/read/x", "other", "", ""));
                heldBytes = Math.max(heldBytes, gateway.onLoop(responses::heldBytes));
            }
            assertThat(heldBytes).isLessThan(4L * BODY_BYTES);
        }
    }

    @Test
    void pipelinedResponsesThatAreReadAreComplete() throws Exception {
        try (FakeTarget target = new FakeTarget(UnreadResponseTest::serve);
                GatewayHarness gateway = new GatewayHarness(new GatewayBuffers(requests, responses), target);
                Socket caller = gateway.connect()) {
            sendPipelined(caller);
            assertThat(caller.getInputStream().readAllBytes()).hasSizeGreaterThan((REQUESTS + 1) * BODY_BYTES);
        }
    }

    @Test
    void theConnectionOfACallerThatStopsReadingIsClosed() throws Exception {
        try (FakeTarget target = new FakeTarget(UnreadResponseTest::serve);
                GatewayHarness gateway = new GatewayHarness(new GatewayBuffers(requests, responses), target);
                Socket caller = sendPipelined(gateway)) {
            while (gateway.openConnections() == 0) {
                Thread.sleep(1);
            }
            while (gateway.openConnections() > 0) {
                Thread.sleep(10);
            }
            assertThat(gateway.onLoop(responses::heldBytes)).isZero();
        }
    }
}
