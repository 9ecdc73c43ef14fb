package org.bamboohatch.gateway.forward;

import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;
import static org.bamboohatch.gateway.forward.FakeTarget.answer;
import static org.bamboohatch.gateway.forward.FakeTarget.streamHead;
import static org.bamboohatch.gateway.forward.FakeTarget.write;
import static org.bamboohatch.gateway.forward.GatewayHarness.readResponse;
import static org.bamboohatch.gateway.forward.GatewayHarness.request;

/** Responses of targets whose head leaves open where the body ends, or to which response it belongs. */
@Timeout(60)
class ResponseFramingTest {

    private static final String FIELDS = "Request-Id: a1\r\nAnswer-Seal: s\r\n";

    private static final String CHUNKED_BODY = "\r\n4\r\nfull\r\n0\r\n\r\n";

    private static final String HEAD = "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n" + FIELDS;

    /** Returns what a caller gets if the target answers with the given bytes and keeps the connection open. */
    private static String callerSees(String response) throws Exception {
        FakeTarget.Script script = (received, connection) -> {
            write(connection, response);
            return true;
        };
        try (FakeTarget target = new FakeTarget(script);
                GatewayHarness gateway = new GatewayHarness(target)) {
            return gateway.call(request("POST", "/order/x", "a1", "", "crates"));
        }
    }

    /** Guards against coded bodies that are passed on as if they were plain. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip, chunked\r\n",
                "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\nTransfer-Encoding: chunked\r\n",
                "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked, gzip\r\n",
                "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked, chunked\r\n",
                "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n",
                "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n",
                "HTTP/1.1 200 OK\r\nTransfer-Encoding: identity\r\n",
                "HTTP/1.1 200 OK\r\nTransfer-Encoding: xchunked\r\n",
                "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked;x=1\r\n",
                "HTTP/1.1 200 OK\r\nTransfer-Encoding:\r\n",
                "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n"
            })
    void aTransferCodingOtherThanChunkedIsMalformed(String head) throws Exception {
        assertThat(callerSees(head + FIELDS + CHUNKED_BODY)).startsWith("HTTP/1.1 502");
    }

    /** Guards against bodies that end where only one of several contradicting fields says so. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "HTTP/1.1 200 OK\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n",
                "HTTP/1.1 200 OK\r\nContent-Length: 4\r\nContent-Length: 14\r\n",
                "HTTP/1.1 200 OK\r\nContent-Length: 4, 14\r\n",
                "HTTP/1.0 200 OK\r\nContent-Length: 4\r\nContent-Length: 14\r\n",
                "HTTP/1.0 200 OK\r\nContent-Length: 14\r\nTransfer-Encoding: chunked\r\n",
                "HTTP/1.1 200 OK\r\nContent-Length: -4\r\n",
                "HTTP/1.1 200 OK\r\nContent-Length:\r\n",
                "HTTP/1.1 200 OK\r\nContent-Length: +4\r\n",
                "HTTP/1.1 200 OK\r\nContent-Length: 0x4\r\n",
                "HTTP/1.1 200 OK\r\nContent-Length: 4 4\r\n",
                "HTTP/1.1 200 OK\r\nContent-Length: 99999999999999999999\r\n"
            })
    void anAmbiguousLengthIsMalformed(String head) throws Exception {
        assertThat(callerSees(head + FIELDS + CHUNKED_BODY)).startsWith("HTTP/1.1 502");
    }

    /** Guards against head fields that another implementation would read differently. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "HTTP/1.1 200 OK\r\n Content-Length: 4\r\n",
                "HTTP/1.1 200 OK\r\nContent-Length: 4\n",
                "HTTP/1.1 200 OK\r\nContent-Length:\r\n 4\r\n",
                "HTTP/1.1 200 OK\r\nOther: a\rContent-Length: 4\r\n",
                "HTTP/1.1 200 OK\r\nOther: a\0b\r\nContent-Length: 4\r\n",
                "HTTP/1.1 200 OK\r\nOther\r\nContent-Length: 4\r\n",
                "HTTP/1.1 200 OK\r\nOth er: x\r\nContent-Length: 4\r\n",
                "HTTP/1.1 200 OK\r\n: x\r\nContent-Length: 4\r\n",
                "HTTP/1.1 000 Trouble\r\nContent-Length: 4\r\n",
                "HTTP/1.1 000 Trouble\r\n",
                "HTTP/1.1 0200 OK\r\nContent-Length: 4\r\n",
                "HTTP/1.1 2000 OK\r\nContent-Length: 4\r\n",
                "HTTP/1.1 20 OK\r\nContent-Length: 4\r\n",
                "HTTP/1.1 -200 OK\r\nContent-Length: 4\r\n",
                "HTTP/2.0 200 OK\r\nContent-Length: 4\r\n",
                "ICY/1.1 200 OK\r\nContent-Length: 4\r\n"
            })
    void aMalformedHeadIsNotPassedOn(String head) throws Exception {
        assertThat(callerSees(head + FIELDS + "\r\nfull")).startsWith("HTTP/1.1 502");
    }

    /** Guards against rejecting heads that are written in an unusual but permitted way. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "Content-Length : 4\r\n\r\nfull",
                "Content-Length:4\r\n\r\nfull",
                "Other: a\r\n b\r\nContent-Length: 4\r\n\r\nfull",
                "Via: HTTP/1.1 proxy\r\nContent-Length: 4\r\n\r\nfull",
                "Transfer-Encoding: Chunked\r\n\r\n4;x=1\r\nfull\r\n0\r\nTrailing: x\r\n\r\n"
            })
    void anUnusualHeadIsAccepted(String rest) throws Exception {
        assertThat(callerSees("HTTP/1.1 200 OK\r\n" + FIELDS + rest))
                .startsWith("HTTP/1.1 200")
                .containsIgnoringCase("Content-Length: 4\r\n")
                .endsWith("full");
    }

    /** Sends a request for each proper prefix of a response and returns what callers got instead of an error. */
    private static List<String> acceptedPrefixes(String response, String continuation) throws Exception {
        FakeTarget.Script script = (received, connection) -> {
            int length = Integer.parseInt(new String(received.body(), StandardCharsets.UTF_8));
            write(connection, response.substring(0, length) + continuation);
            return false;
        };
        List<String> accepted = new ArrayList<>();
        try (FakeTarget target = new FakeTarget(script);
                GatewayHarness gateway = new GatewayHarness(target);
                Socket caller = gateway.connect()) {
            for (int length = 1; length < response.length(); length++) {
                String request = request("POST", "/order/x", "a1", "", Integer.toString(length));
                write(caller, request.replace("Connection: close\r\n", ""));
                String seen = readResponse(caller.getInputStream());
                if (!seen.startsWith("HTTP/1.1 502")) {
                    accepted.add(response.substring(0, length) + "| " + seen);
                }
            }
        }
        return accepted;
    }

    /** Guards against the body of a late second response under the status of one that stopped in its head. */
    @Test
    void aResponseThatStopsInItsHeadIsNotCompletedByALaterOne() throws Exception {
        String later = "HTTP/1.1 500 Broken\r\n" + FIELDS + "Content-Length: 6\r\n\r\nbroken";
        assertThat(acceptedPrefixes(HEAD, later)).isEmpty();
        assertThat(acceptedPrefixes(HEAD, later.replace("a1", "b2"))).isEmpty();
    }

    /** Guards against a success with an empty body where a target stopped within the head. */
    @Test
    void aResponseThatStopsInItsHeadIsLost() throws Exception {
        assertThat(acceptedPrefixes(HEAD, "")).isEmpty();
        assertThat(acceptedPrefixes(HEAD + "Content-Length: 0\r\n\r\n", "")).isEmpty();
    }

    /** Guards against the loss of a request whose response stands behind bytes that came with the one before. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n@\r\nfullrest",
                "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n@\r\nfullHTTP/1.1 200 ",
                "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n@\r\nfullHTTP/1.1 200 OK\r\n@Other: ",
                "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n@\r\n4\r\nfull\r\n0\r\n\r\n4",
                "HTTP/1.1 204 No Content\r\nContent-Length: 4\r\n@\r\nfull",
                "HTTP/1.1 205 Reset Content\r\nContent-Length: 4\r\n@\r\nfullrest",
                "HTTP/1.1 304 Not Modified\r\nContent-Length: 4\r\n@\r\nfull"
            })
    void bytesBehindAResponseAreNotReadAsTheNextOne(String first) throws Exception {
        FakeTarget.Script script = (received, connection) -> {
            write(connection, received.id().equals("a1") ? first.replace("@", FIELDS) : answer("next", "of next"));
            return true;
        };
        try (FakeTarget target = new FakeTarget(script);
                GatewayHarness gateway = new GatewayHarness(target)) {
            assertThat(gateway.call(request("POST", "/order/x", "a1", "", "crates")))
                    .startsWith(first.substring(0, 12));
            assertThat(gateway.call(request("POST", "/order/x", "next", "", "crates")))
                    .startsWith("HTTP/1.1 200")
                    .endsWith("of next");
        }
    }

    /** Guards against a second response that is passed on as a part of the body of the first. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "@\r\nwhole bodyHTTP/1.1 200 OK\r\n@\r\nwhole body",
                "@\r\nwhole body\nHTTP/1.0 500 Broken\r\nContent-Length: 4\r\n@\r\nlate",
                "@\r\nparHHTTP/1.1 500\r\nContent-Length: 4\r\nREQUEST-ID:b\r\n\r\nlate",
                "@Content-Length: 70\r\n\r\npartHTTP/1.1 200 OK\r\n@Content-Length: 70\r\n\r\npart and rest",
                "@Content-Length: 30\r\n\r\npartHTTP/1.1 200 OK\r\n@Content-Length: 30\r\n\r\npart and rest",
                "@Content-Length: 6\r\n\r\npartHTTP/1.1 200 OK\r\n@Content-Length: 6\r\n\r\npartly",
                "@Transfer-Encoding: chunked\r\n\r\n1e\r\npartHTTP/1.1 200 OK\r\n@Transfer-Encoding: chunked\r\n\r\n",
                "@Transfer-Encoding: chunked\r\n\r\n4\r\npart\r\nHTTP/1.1 200 OK\r\n@Transfer-Encoding: chunked\r\n\r\n"
            })
    void aSecondResponseWithinABodyIsMalformed(String response) throws Exception {
        FakeTarget.Script script = (received, connection) -> {
            write(connection, "HTTP/1.1 200 OK\r\n" + response.replace("@", FIELDS));
            return false;
        };
        try (FakeTarget target = new FakeTarget(script);
                GatewayHarness gateway = new GatewayHarness(target)) {
            assertThat(gateway.call(request("POST", "/order/x", "a1", "", "crates")))
                    .startsWith("HTTP/1.1 502");
        }
    }

    /** Guards against a whole response that is lost because its last letters also begin a status line. */
    @ParameterizedTest
    @ValueSource(strings = {"DEATH", "a link to HTTP", "see HTTP/1."})
    void aWholeBodyIsNotJoinedToTheResponseBehindIt(String body) throws Exception {
        FakeTarget.Script answeringTwice = (received, connection) -> {
            write(connection, FakeTarget.answer(received.id(), body) + FakeTarget.answer(received.id(), body));
            return false;
        };
        try (FakeTarget target = new FakeTarget(answeringTwice);
                GatewayHarness gateway = new GatewayHarness(target)) {
            assertThat(gateway.call(request("POST", "/order/x", "a1", "", "crates")))
                    .startsWith("HTTP/1.1 200")
                    .endsWith("\r\n\r\n" + body);
        }
    }

    /** Guards against streams whose second copy, sent late, reaches the caller as events of the first. */
    @ParameterizedTest
    @ValueSource(strings = {"id: 1\ndata: a\n\n", "id: 1\ndata: a\n\nid: 2\nda", "id: 1\ndata: a\n\nid: 2\ndata: c\n"})
    void aSecondResponseWithinAStreamBreaksItOff(String events) throws Exception {
        String head = streamHead("a1", "s").replace("Transfer-Encoding: chunked\r\n", "");
        FakeTarget.Script script = (received, connection) -> {
            for (String line : (head + events + head + "id: 2\ndata: b\n\n").split("(?<=\n)")) {
                write(connection, line);
            }
            return false;
        };
        try (FakeTarget target = new FakeTarget(script);
                GatewayHarness gateway = new GatewayHarness(target)) {
            assertThat(gateway.call(request("POST", "/stream/x", "a1", "", "prompt")))
                    .doesNotContain("data: b")
                    .doesNotEndWith("\r\n0\r\n\r\n");
        }
    }

    /** Guards against the rejection of a body that speaks of responses. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "HTTP/1.1 200 OK\r\nOther: x\r\n\r\nRequest-Id: a1",
                "data: HTTP/1.1 200 OK\ndata: Request-Id: a1\n\n",
                "GET / HTTP/1.1\r\nRequest-Id: a1\r\n\r\n",
                "HTTP/1.1 200 OK"
            })
    void aBodyThatQuotesAResponseIsAccepted(String body) throws Exception {
        assertThat(callerSees(answer("a1", body))).startsWith("HTTP/1.1 200").endsWith(body);
    }

    /** Guards against requests that wait for a response which a change of protocol has ended. */
    @Test
    void aSwitchOfProtocolsIsMalformed() throws Exception {
        assertThat(callerSees(
                        "HTTP/1.1 101 Switching\r\nUpgrade: other\r\nConnection: Upgrade\r\n\r\nHTTP/1.1 200 OK\r\n"
                                + FIELDS + "Content-Length: 4\r\n\r\nfull"))
                .startsWith("HTTP/1.1 502");
    }

    /** Guards against fields that would change the connection or the framing of the caller. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "Connection: X-One, x-TWO , close\r\nX-one: 1\r\nX-Two: 2\r\n",
                "Keep-Alive: timeout=5\r\n",
                "Trailer: X\r\n",
                "Upgrade: h2c\r\n",
                "Proxy-Authenticate: Basic\r\n",
                "Proxy-Connection: close\r\n",
                "TE: x\r\n"
            })
    void fieldsOfTheTargetsConnectionAreNotPassedOn(String fields) throws Exception {
        String seen = callerSees("HTTP/1.1 200 OK\r\n" + FIELDS + fields + "Content-Length: 4\r\n\r\nfull");
        assertThat(seen).startsWith("HTTP/1.1 200").endsWith("full");
        // The gateway's own field, as the caller asked for it.
        String head = seen.replaceFirst("(?i)connection: close\r\n", "");
        for (String line : fields.split("\r\n")) {
            assertThat(head).doesNotContainIgnoringCase(line.substring(0, line.indexOf(':') + 1));
        }
    }
}
