package org.bamboohatch.gateway.forward;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;
import static org.bamboohatch.gateway.forward.FakeTarget.answer;
import static org.bamboohatch.gateway.forward.FakeTarget.write;
import static org.bamboohatch.gateway.forward.GatewayHarness.request;

/** Where responses end for callers, on connections that remain open and on those that don't. */
@Timeout(60)
class CallerFramingTest {

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
}
