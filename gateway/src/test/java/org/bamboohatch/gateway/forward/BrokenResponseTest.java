package org.bamboohatch.gateway.forward;

import java.io.IOException;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.Stream;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.MethodSource;

import static org.assertj.core.api.Assertions.assertThat;
import static org.bamboohatch.gateway.forward.FakeTarget.chunk;
import static org.bamboohatch.gateway.forward.FakeTarget.write;
import static org.bamboohatch.gateway.forward.GatewayHarness.request;

/** Guards against a response that breaks off, wherever and however it does, and reaches the caller as a complete one. */
@Timeout(120)
class BrokenResponseTest {

    private static final String HEAD = "HTTP/1.1 200 OK\r\nRequest-Id: a1\r\nAnswer-Seal: s\r\n";

    private static final String STREAM_HEAD = HEAD + "Content-Type: text/event-stream\r\n";

    private static final String CHUNKED = "Transfer-Encoding: chunked\r\n\r\n";

    private static final String EVENT = "id: 1\ndata: a\n\n";

    private static final String NEXT_EVENT = "id: 2\ndata: b\n\n";

    private static final String COMPLETE_END = "0\r\n\r\n";

    /** How a target ends its connection. */
    enum Ending {
        CLOSED {
            @Override
            void apply(FakeTarget target, Socket connection) throws IOException {
                connection.close();
            }
        },
        RESET {
            @Override
            void apply(FakeTarget target, Socket connection) throws IOException {
                connection.setSoLinger(true, 0);
                connection.close();
            }
        },
        CRASHED {
            @Override
            void apply(FakeTarget target, Socket connection) throws IOException {
                target.crash();
            }
        };

        abstract void apply(FakeTarget target, Socket connection) throws IOException;
    }

    /** Each beginning of a response with each way to end after it, but for those that no caller can tell from a whole one. */
    static Stream<Arguments> broken() {
        List<Arguments> cases = new ArrayList<>();
        for (String beginning : beginnings()) {
            for (Ending ending : Ending.values()) {
                boolean endsWithConnection = !beginning.contains("Length") && !beginning.contains("Encoding");
                boolean looksWhole = beginning.contains("\r\n\r\n") && endsWithConnection && ending == Ending.CLOSED;
                if (!looksWhole || beginning.endsWith("data: b")) {
                    cases.add(Arguments.of(ending, beginning));
                }
            }
        }
        return cases.stream();
    }

    private static List<String> beginnings() {
        return List.of(
                "HTT",
                "HTTP/1.1 200 O",
                "HTTP/1.1 200 OK\r\n",
                "HTTP/1.1 200 OK\r\nRequest-Id: a1\r\nAnswer-Se",
                HEAD,
                HEAD + "Content-Len",
                HEAD + "Content-Length: 1",
                HEAD + "Content-Length: 10\r\n",
                HEAD + "Content-Length: 10\r\n\r",
                HEAD + "Content-Length: 10\r\n\r\n",
                HEAD + "Content-Length: 10\r\n\r\n123456789",
                HEAD + "Transfer-Enc",
                HEAD + CHUNKED,
                HEAD + CHUNKED + "5",
                HEAD + CHUNKED + "5\r\n",
                HEAD + CHUNKED + "5\r\n123",
                HEAD + CHUNKED + "5\r\n12345",
                HEAD + CHUNKED + chunk("12345"),
                HEAD + CHUNKED + chunk("12345") + "0",
                HEAD + CHUNKED + chunk("12345") + "0\r\n",
                HEAD + CHUNKED + chunk("12345") + "0\r\nTrailer: x\r\n",
                HEAD + "\r\n",
                HEAD + "\r\n12345",
                STREAM_HEAD,
                STREAM_HEAD + "Transfer-Encoding: chunked\r\n",
                STREAM_HEAD + CHUNKED,
                STREAM_HEAD + CHUNKED + chunk(EVENT),
                STREAM_HEAD + CHUNKED + chunk(EVENT) + chunk("id: 2\ndata: b"),
                STREAM_HEAD + CHUNKED + chunk(EVENT) + "0\r\n",
                STREAM_HEAD + "Content-Length: 90\r\n\r\n" + EVENT,
                STREAM_HEAD + "\r\n" + EVENT,
                STREAM_HEAD + "\r\n" + EVENT + "id: 2\ndata: b");
    }

    @ParameterizedTest(name = "{0} after {1}")
    @MethodSource("broken")
    void aResponseThatBreaksOffDoesNotReachTheCallerAsComplete(Ending ending, String beginning) throws Exception {
        FakeTarget[] target = new FakeTarget[1];
        FakeTarget.Script script = (received, connection) -> {
            write(connection, beginning);
            ending.apply(target[0], connection);
            return false;
        };
        target[0] = new FakeTarget(script);
        try (GatewayHarness gateway = new GatewayHarness(target[0])) {
            String text = gateway.call(request("POST", "/stream/x", "a1", "", "prompt"));
            assertThat(text.startsWith("HTTP/1.1 200") && isComplete(text))
                    .as(text)
                    .isFalse();
            assertThat(target[0].received).hasSize(1);
        } finally {
            target[0].close();
        }
    }

    /** A body that is too large to be buffered is passed on before its end is known. */
    @ParameterizedTest
    @EnumSource(Ending.class)
    void aLargeBodyThatBreaksOffDoesNotReachTheCallerAsComplete(Ending ending) throws Exception {
        String part = "x".repeat(1_500_000);
        for (String framing : List.of("Content-Length: 3000000\r\n\r\n" + part, CHUNKED + chunk(part), "\r\n" + part)) {
            if (framing.startsWith("\r\n") && ending == Ending.CLOSED) {
                continue;
            }
            FakeTarget[] target = new FakeTarget[1];
            target[0] = new FakeTarget((received, connection) -> {
                write(connection, HEAD + framing);
                ending.apply(target[0], connection);
                return false;
            });
            try (GatewayHarness gateway = new GatewayHarness(target[0])) {
                String text = gateway.call(request("POST", "/read/x", "a1", "", "prompt"));
                assertThat(text.startsWith("HTTP/1.1 200") && isComplete(text))
                        .as(text.lines().findFirst().orElse(""))
                        .isFalse();
            } finally {
                target[0].close();
            }
        }
    }

    private static boolean isComplete(String text) {
        int bodyStart = text.indexOf("\r\n\r\n") + 4;
        if (text.substring(0, bodyStart).contains("chunked")) {
            return text.endsWith(COMPLETE_END);
        }
        String length = text.replaceAll("(?s).*[Cc]ontent-[Ll]ength: ([0-9]+).*", "$1");
        return text.length() - bodyStart == Integer.parseInt(length);
    }

    /** A target that crashes closes its connections as one that has sent all does; only the target itself tells them apart. */
    @Test
    void aStreamWithoutALengthIsResumedIfItsTargetHasCrashed() throws Exception {
        FakeTarget[] targets = new FakeTarget[2];
        AtomicInteger requests = new AtomicInteger();
        FakeTarget.Script script = (received, connection) -> {
            if (requests.getAndIncrement() == 0) {
                write(connection, STREAM_HEAD + "\r\n" + EVENT);
                boolean first = targets[0].address().endsWith(":" + connection.getLocalPort());
                targets[first ? 0 : 1].crash();
                return false;
            }
            assertThat(received.headers()).containsEntry("last-event-id", "1");
            write(connection, STREAM_HEAD + CHUNKED + chunk(NEXT_EVENT) + COMPLETE_END);
            return true;
        };
        targets[0] = new FakeTarget(script);
        targets[1] = new FakeTarget(script);
        try (GatewayHarness gateway = new GatewayHarness(targets)) {
            String text = gateway.call(request("POST", "/stream/x", "a1", "", "prompt"));
            assertThat(text).contains(chunk(EVENT)).endsWith(chunk(NEXT_EVENT) + COMPLETE_END);
            assertThat(requests).hasValue(2);
        } finally {
            targets[0].close();
            targets[1].close();
        }
    }
}
