package org.bamboohatch.gateway.forward;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

import org.bamboohatch.gateway.buffer.BufferBudget;
import org.bamboohatch.gateway.buffer.GatewayBuffers;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.assertj.core.api.Assertions.assertThat;
import static org.bamboohatch.gateway.forward.FakeTarget.answer;
import static org.bamboohatch.gateway.forward.FakeTarget.write;
import static org.bamboohatch.gateway.forward.GatewayHarness.request;

/** Many request bodies, each of a permitted size, fill the memory of the gateway together. */
@Timeout(30)
class ManyRequestBodiesTest {

    private static final int CAPACITY_BYTES = 60_000;

    private static final String FIRST_HALF = "x".repeat(10_000);

    private static final String SECOND_HALF = "y".repeat(10_000);

    private final BufferBudget requests = new BufferBudget(CAPACITY_BYTES, 0.5);

    @ParameterizedTest(name = "{0}")
    @CsvSource({
        "Content-Length: 20000, '', ''",
        "Transfer-Encoding: chunked, '2710\r\n', '\r\n0\r\n\r\n'",
    })
    void aBodyThatDoesNotFitIsRefusedAsNotRunWhileOthersAreServed(String framing, String before, String after)
            throws Exception {
        BufferBudget responses = new BufferBudget(CAPACITY_BYTES, 1);
        try (FakeTarget target = new FakeTarget(ManyRequestBodiesTest::serve);
                GatewayHarness gateway = new GatewayHarness(new GatewayBuffers(requests, responses), target);
                Socket first = gateway.connect();
                Socket second = gateway.connect()) {
            send(first, begin("first", framing, before));
            while (gateway.onLoop(requests::heldBytes) < 20_000) {
                Thread.sleep(1);
            }
            send(second, begin("second", framing, before));
            assertThat(FakeTarget.readLine(second.getInputStream())).startsWith("HTTP/1.1 503");
            assertThat(gateway.call(request("POST", "/order/x", "small", "", "crates")))
                    .endsWith("body of small");
            send(first, before.isEmpty() ? SECOND_HALF : after);
            assertThat(GatewayHarness.readAll(first.getInputStream())).endsWith("body of first");
            assertThat(GatewayHarness.readAll(second.getInputStream()))
                    .contains("retry-after: 0.5", "\"outcome\":\"not-run\"");
            String third = begin("third", framing, before) + (before.isEmpty() ? SECOND_HALF : after);
            assertThat(gateway.call(third)).endsWith("body of third");
            assertThat(gateway.onLoop(requests::heldBytes)).isZero();
            assertThat(target.received)
                    .extracting(FakeTarget.ReceivedRequest::id)
                    .containsExactly("small", "first", "third");
        }
    }

    private static boolean serve(FakeTarget.ReceivedRequest received, Socket connection) throws IOException {
        write(connection, answer(received.id(), "body of " + received.id()));
        return true;
    }

    private static String begin(String id, String framing, String before) {
        return request("POST", "/order/x", id, framing + "\r\n", "") + before + FIRST_HALF;
    }

    private static void send(Socket caller, String text) throws IOException {
        caller.getOutputStream().write(text.getBytes(StandardCharsets.UTF_8));
    }
}
