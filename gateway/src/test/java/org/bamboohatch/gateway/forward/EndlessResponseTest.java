package org.bamboohatch.gateway.forward;

import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CountDownLatch;
import java.util.stream.Stream;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

import static org.assertj.core.api.Assertions.assertThat;
import static org.bamboohatch.gateway.forward.FakeTarget.answer;
import static org.bamboohatch.gateway.forward.FakeTarget.chunk;
import static org.bamboohatch.gateway.forward.FakeTarget.streamHead;
import static org.bamboohatch.gateway.forward.FakeTarget.write;
import static org.bamboohatch.gateway.forward.GatewayHarness.request;

/**
 * A target in trouble may send bytes that are no answer until its caller closes. The connection is closed and the request
 * is sent to another target where that is allowed.
 */
@Timeout(60)
class EndlessResponseTest {

    private static final String HEAD = "HTTP/1.1 200 OK\r\nRequest-Id: a1\r\nAnswer-Seal: s\r\n";

    /** Beginning of a response, and what follows it without end. */
    static Stream<Arguments> endlessResponses() {
        return Stream.of(
                Arguments.of("white space before the status line", "", " \r\n"),
                Arguments.of("status line", "HTTP/1.1 200 ", "x"),
                Arguments.of("interim responses", "", "HTTP/1.1 102 Processing\r\n\r\n"),
                Arguments.of(
                        "responses to other requests",
                        "",
                        "HTTP/1.1 200 OK\r\nRequest-Id: b\r\nContent-Length: 0\r\n\r\n"),
                Arguments.of("header fields", HEAD, "Field: value\r\n"),
                Arguments.of("one header field", HEAD + "Field: ", "x"),
                Arguments.of("chunk extension", HEAD + "Transfer-Encoding: chunked\r\n\r\n4;x=", "x"),
                Arguments.of("trailers", HEAD + "Transfer-Encoding: chunked\r\n\r\n0\r\n", "Field: value\r\n"),
                Arguments.of(
                        "body of a refusal",
                        "HTTP/1.1 503 Full\r\nRequest-Id: a1\r\nNot-Executed: 1\r\nTransfer-Encoding: chunked\r\n\r\n",
                        chunk("x".repeat(1_000))),
                Arguments.of(
                        "body of a failure",
                        "HTTP/1.1 500 Broken\r\nRequest-Id: a1\r\nAnswer-Seal: s\r\n\r\n",
                        "x".repeat(1_000)),
                Arguments.of("event", streamHead("a1", "s"), chunk("data: x\n")));
    }

    /** Responds without end once the other target is announced, which the choice of the first target must not depend on. */
    private static FakeTarget.Script endless(String beginning, String repeated, CountDownLatch announced) {
        byte[] block = repeated.repeat(1 + 8_192 / repeated.length()).getBytes(StandardCharsets.UTF_8);
        return (received, connection) -> {
            announced.await();
            write(connection, beginning);
            OutputStream stream = connection.getOutputStream();
            while (true) {
                stream.write(block);
            }
        };
    }

    private static boolean serve(FakeTarget.ReceivedRequest received, Socket connection) throws IOException {
        write(connection, answer(received.id(), "body of " + received.id()));
        return true;
    }

    @ParameterizedTest(name = "{0}")
    @MethodSource("endlessResponses")
    void anEndlessResponseIsClosedAndTheRequestSentElsewhere(String name, String beginning, String repeated)
            throws Exception {
        CountDownLatch announced = new CountDownLatch(1);
        try (FakeTarget troubled = new FakeTarget(endless(beginning, repeated, announced));
                FakeTarget sound = new FakeTarget(EndlessResponseTest::serve);
                GatewayHarness gateway = new GatewayHarness(troubled)) {
            Thread replacing = new Thread(() -> {
                gateway.applyOnceReceived(troubled, sound);
                announced.countDown();
            });
            replacing.start();
            assertThat(gateway.call(request("POST", "/stream/x", "a1", "", "prompt")))
                    .as(name)
                    .endsWith("body of a1");
            replacing.join();
            troubled.callerGone.await();
        }
    }

    @Test
    void bytesAfterACompleteResponseCloseTheConnection() throws Exception {
        FakeTarget.Script trailing = (received, connection) -> {
            write(connection, answer(received.id(), "body of " + received.id()));
            while (true) {
                write(connection, "\r\n");
            }
        };
        try (FakeTarget troubled = new FakeTarget(trailing);
                GatewayHarness gateway = new GatewayHarness(troubled)) {
            assertThat(gateway.call(request("POST", "/order/x", "a1", "", "crates")))
                    .endsWith("body of a1");
            troubled.callerGone.await();
        }
    }
}
