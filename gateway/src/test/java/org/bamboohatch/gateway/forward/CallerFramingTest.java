package org.bamboohatch.gateway.forward;

import java.net.Socket;
import java.net.SocketException;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;
import static org.bamboohatch.gateway.forward.FakeTarget.answer;
import static org.bamboohatch.gateway.forward.FakeTarget.chunk;
import static org.bamboohatch.gateway.forward.FakeTarget.streamHead;
import static org.bamboohatch.gateway.forward.FakeTarget.write;
import static org.bamboohatch.gateway.forward.GatewayHarness.readAll;
import static org.bamboohatch.gateway.forward.GatewayHarness.request;

/** Where responses end for callers, on connections that remain open and on those that don't. */
@Timeout(60)
class CallerFramingTest {

    private static final String EVENT = "id: 1\ndata: a\n\n";

    private static final String END_OF_HEAD = "\r\n\r\n";

    private static String keptRequest(String method, String path, String id, String body) {
        return request(method, path, id, "", body).replace("Connection: close\r\n", "");
    }

    /**
     * Sends a request and a second one right behind it, and returns what precedes the response to the second. The
     * target answers the first request with the given bytes.
     */
    private static String firstOfTwo(String firstRequest, String response) throws Exception {
        FakeTarget.Script script = (received, connection) -> {
            write(connection, received.id().equals("next") ? answer("next", "of next") : response);
            return true;
        };
        try (FakeTarget target = new FakeTarget(script);
                GatewayHarness gateway = new GatewayHarness(target)) {
            String both = gateway.call(firstRequest + request("GET", "/order/x", "next", "", ""));
            int second = both.lastIndexOf("HTTP/1.1 ");
            assertThat(both.substring(second)).startsWith("HTTP/1.1 200").endsWith("of next");
            return both.substring(0, second);
        }
    }

    /** Guards against bytes that belong to no response, and against a length that is not that of the body of GET. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n",
                "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n",
                "HTTP/1.1 200 OK\r\n",
                "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n",
                "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n",
                "HTTP/1.1 500 Broken\r\nContent-Length: 4\r\n",
                "HTTP/1.1 200 OK\r\nRequest-Id: other\r\nContent-Length: 0\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 4\r\n"
            })
    void aResponseToHeadHasTheLengthOfItsTargetAndNoBody(String head) throws Exception {
        String response = head + "Request-Id: a1\r\nAnswer-Seal: s\r\n\r\n";
        String seen = firstOfTwo(keptRequest("HEAD", "/order/x", "a1", ""), response);
        assertThat(seen).startsWith(head.substring(0, 12)).endsWith(END_OF_HEAD).containsOnlyOnce(END_OF_HEAD);
        assertThat(seen).doesNotContainIgnoringCase("Content-Length: 0");
        if (head.contains("Content-Length: 4")) {
            assertThat(seen).containsIgnoringCase("Content-Length: 4\r\n");
        }
    }

    /** Guards against bytes that belong to no response between two responses. */
    @Test
    void aRefusalOfHeadHasNoBody() throws Exception {
        assertThat(firstOfTwo(keptRequest("HEAD", "/unknown/x", "a1", ""), "unused"))
                .startsWith("HTTP/1.1 404")
                .endsWith(END_OF_HEAD);
        try (GatewayHarness gateway = new GatewayHarness()) {
            assertThat(gateway.call(request("HEAD", "/order/x", "a1", "Content-Length: 99999\r\n", "")))
                    .startsWith("HTTP/1.1 413")
                    .endsWith(END_OF_HEAD);
        }
    }

    /** Guards against bytes that belong to no response, and against the length 0 of a resource that is not modified. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "204 No Content\r\n\r\n",
                "204 No Content\r\nContent-Length: 0\r\n\r\n",
                "204 No Content\r\nTransfer-Encoding: chunked\r\n\r\n",
                "205 Reset Content\r\nContent-Length: 0\r\n\r\n",
                "205 Reset Content\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
                "304 Not Modified\r\n\r\n",
                "304 Not Modified\r\nContent-Length: 4\r\n\r\n",
                "304 Not Modified\r\nTransfer-Encoding: chunked\r\n\r\n"
            })
    void aStatusWithoutABodyHasNone(String response) throws Exception {
        String identified = "HTTP/1.1 " + response.replaceFirst("\r\n", "\r\nRequest-Id: a1\r\nAnswer-Seal: s\r\n");
        String seen = firstOfTwo(keptRequest("GET", "/order/x", "a1", ""), identified);
        assertThat(seen).startsWith("HTTP/1.1 " + response.substring(0, 3)).endsWith(END_OF_HEAD);
        if (response.startsWith("304")) {
            assertThat(seen).doesNotContainIgnoringCase("Content-Length: 0");
            assertThat(seen.contains("ontent-length: 4")).isEqualTo(response.contains("Content-Length: 4"));
        }
    }

    private static String http10(String request, String connection) {
        return request.replace(" HTTP/1.1\r\n", " HTTP/1.0\r\n").replace(": close", ": " + connection);
    }

    /** Guards against chunks that reach callers of HTTP/1.0 as parts of the body, and against connections kept silently. */
    @ParameterizedTest
    @ValueSource(strings = {"close", "keep-alive"})
    void aStreamForHttp10EndsWithItsConnection(String connection) throws Exception {
        FakeTarget.Script script = (received, socket) -> {
            write(socket, streamHead(received.id(), "s") + chunk(EVENT) + "0\r\n\r\n");
            return true;
        };
        try (FakeTarget target = new FakeTarget(script);
                GatewayHarness gateway = new GatewayHarness(target)) {
            assertThat(gateway.call(http10(request("POST", "/stream/x", "a1", "", "prompt"), connection)))
                    .doesNotContainIgnoringCase("Transfer-Encoding")
                    .containsIgnoringCase("Connection: close")
                    .endsWith(END_OF_HEAD + EVENT);
        }
    }

    /** Guards against broken off streams that callers of HTTP/1.0 take for complete. */
    @Test
    void aBrokenOffStreamForHttp10IsReset() throws Exception {
        FakeTarget.Script script = (received, socket) -> {
            write(socket, streamHead(received.id(), "s") + chunk(EVENT));
            return false;
        };
        try (FakeTarget target = new FakeTarget(script);
                GatewayHarness gateway = new GatewayHarness(target)) {
            String request = http10(request("POST", "/stream/x", "a1", "", "prompt"), "close");
            assertThatThrownBy(() -> gateway.call(request)).isInstanceOf(SocketException.class);
        }
    }

    /** Guards against responses that look complete when they are broken off while the caller has not read them. */
    @ParameterizedTest
    @ValueSource(strings = {"chunks", "length", "connection end"})
    void aResponseThatIsBrokenOffBeforeItIsReadIsNotWhole(String framing) throws Exception {
        String length = "HTTP/1.1 200 OK\r\nRequest-Id: a1\r\nAnswer-Seal: s\r\nContent-Length: 1000000000\r\n\r\n";
        FakeTarget.Script endless = (received, socket) -> {
            write(socket, framing.equals("length") ? length : streamHead("a1", "s"));
            for (int number = 1; ; number++) {
                String event = "id: " + number + "\ndata: " + "x".repeat(65_536) + "\n\n";
                write(socket, framing.equals("length") ? event : chunk(event));
            }
        };
        String path = framing.equals("length") ? "/order/x" : "/stream/x";
        String request = request("POST", path, "a1", "Request-Timeout-Ms: 600\r\n", "prompt");
        try (FakeTarget target = new FakeTarget(endless);
                GatewayHarness gateway = new GatewayHarness(target);
                Socket caller = gateway.connect()) {
            write(caller, framing.equals("connection end") ? http10(request, "close") : request);
            target.callerGone.await();
            if (framing.equals("connection end")) {
                assertThatThrownBy(() -> readAll(caller.getInputStream())).isInstanceOf(SocketException.class);
            } else {
                String seen = readAll(caller.getInputStream());
                assertThat(seen.startsWith("HTTP/1.1 200")).isTrue();
                assertThat(seen.endsWith("\r\n0\r\n\r\n")).isFalse();
                assertThat(seen.length()).isLessThan(1_000_000_000);
            }
        }
    }

    /** Guards against responses out of order, and against one behind a response that is broken off or refused. */
    @Test
    void pipelinedRequestsAreAnsweredInOrderUntilOneIsBrokenOff() throws Exception {
        FakeTarget.Script script = (received, socket) -> {
            boolean broken = received.line().contains("/stream/");
            write(
                    socket,
                    broken ? streamHead(received.id(), "s") + chunk(EVENT) : answer(received.id(), received.id()));
            return !broken;
        };
        String last = request("POST", "/order/x", "last", "", "crates");
        try (FakeTarget target = new FakeTarget(script);
                GatewayHarness gateway = new GatewayHarness(target)) {
            String first = keptRequest("POST", "/order/x", "first", "crates") + keptRequest("GET", "/none/x", "a2", "");
            String seen = gateway.call(first + keptRequest("POST", "/order/x", "third", "crates") + last);
            assertThat(seen).containsSubsequence("200", "first", "404", "200", "third", "200", "last");
            seen = gateway.call(first + keptRequest("POST", "/order/x", "a2", "x".repeat(20_001)) + last);
            assertThat(seen).containsSubsequence("200", "first", "404", "413").doesNotContain("last");
            seen = gateway.call(first + keptRequest("POST", "/stream/x", "a2", "prompt") + last);
            assertThat(seen)
                    .containsSubsequence("200", "first", "404", "200", EVENT)
                    .doesNotContain("last");
            assertThat(target.received.stream().filter(received -> received.id().equals("last")))
                    .hasSize(1);
        }
    }

    /** Guards against a stack overflow by many pipelined requests that are refused. */
    @Test
    void manyPipelinedRefusals() throws Exception {
        int count = 3_000;
        FakeTarget.Script script = (received, socket) -> {
            Thread.sleep(300);
            write(socket, answer(received.id(), received.id()));
            return true;
        };
        try (FakeTarget target = new FakeTarget(script);
                GatewayHarness gateway = new GatewayHarness(target)) {
            String seen = gateway.call(
                    keptRequest("POST", "/order/x", "first", "x".repeat(20_000)).repeat(4)
                            + "GET / HTTP/1.1\r\n\r\n".repeat(count)
                            + request("POST", "/order/x", "last", "", "crates"));
            assertThat(seen.split("HTTP/1.1 400", -1)).hasSize(count + 1);
            assertThat(seen).endsWith("last");
        }
    }

    /** Guards against a body that is asked for although it will be refused. */
    @Test
    void anExpectedBodyIsOnlyAskedForIfItIsAllowed() throws Exception {
        try (FakeTarget target = new FakeTarget((received, socket) -> {
                    write(socket, answer(received.id(), "full"));
                    return true;
                });
                GatewayHarness gateway = new GatewayHarness(target)) {
            String expecting = "Expect: 100-continue\r\n";
            assertThat(gateway.call(request("POST", "/order/x", "a1", expecting, "crates")))
                    .startsWith("HTTP/1.1 100 Continue" + END_OF_HEAD + "HTTP/1.1 200")
                    .endsWith("full");
            assertThat(target.received.get(0).headers()).doesNotContainKey("expect");
            assertThat(gateway.call(request("POST", "/order/x", "a2", expecting + "Content-Length: 20001\r\n", "")))
                    .startsWith("HTTP/1.1 413");
        }
    }
}
