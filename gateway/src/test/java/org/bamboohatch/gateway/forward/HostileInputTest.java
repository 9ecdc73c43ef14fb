package org.bamboohatch.gateway.forward;

import java.net.Socket;
import java.nio.charset.StandardCharsets;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;
import static org.bamboohatch.gateway.forward.GatewayHarness.request;

/** Malformed and hostile requests are answered with an error, reach no target and don't disrupt the gateway. */
@Timeout(30)
class HostileInputTest {

    private FakeTarget target;

    private GatewayHarness gateway;

    @BeforeEach
    void start() throws Exception {
        target = new FakeTarget((received, connection) -> {
            FakeTarget.write(connection, FakeTarget.answer(received.id(), "fine"));
            return true;
        });
        gateway = new GatewayHarness(target);
    }

    @AfterEach
    void stop() throws Exception {
        assertThat(gateway.call(request("GET", "/read/x", "last", "", ""))).endsWith("fine");
        assertThat(target.received).extracting(FakeTarget.ReceivedRequest::id).containsExactly("last");
        gateway.close();
        target.close();
    }

    private void assertStatus(int status, String request) throws Exception {
        assertThat(gateway.call(request)).startsWith("HTTP/1.1 " + status);
    }

    @Test
    void unknownHostPathOrKey() throws Exception {
        assertStatus(404, request("GET", "/read/x", "a", "", "").replace("beads.example", "other.example"));
        assertStatus(404, request("GET", "/readx", "a", "", ""));
        assertStatus(401, request("GET", "/read/x", "a", "", "").replace("key-1", "key-2"));
        assertStatus(401, request("GET", "/read/x", "a", "", "").replace("Api-Key: key-1\r\n", ""));
        assertStatus(400, request("GET", "/read/x", "a", "", "").replace("Host: beads.example\r\n", ""));
        assertStatus(400, request("GET", "/read/x", "a", "", "").replace("Request-Id: a\r\n", ""));
    }

    @Test
    void oversizedHeadIsRefused() throws Exception {
        assertStatus(431, request("GET", "/read/x", "a", "Long: " + "x".repeat(5_000) + "\r\n", ""));
        assertStatus(431, request("GET", "/read/" + "x".repeat(5_000), "a", "", ""));
    }

    @Test
    void oversizedBodyIsRefused() throws Exception {
        assertStatus(413, request("POST", "/read/x", "a", "", "x".repeat(20_001)));
        String chunked = request("POST", "/read/x", "a", "Transfer-Encoding: chunked\r\n", "");
        assertStatus(413, chunked + ("4000\r\n" + "x".repeat(0x4000) + "\r\n").repeat(2));
    }

    @Test
    void conflictingBodyLengths() throws Exception {
        assertStatus(400, request("POST", "/read/x", "a", "Content-Length: 3\r\nContent-Length: 5\r\n", "") + "abcde");
        assertStatus(
                400,
                request("POST", "/read/x", "a", "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n", "")
                        + "0\r\n\r\nGET /read/smuggled HTTP/1.1\r\n\r\n");
    }

    /** Guards against requests within the body of another one, and against coded bodies that are passed on as plain. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "Transfer-Encoding: gzip\r\n",
                "Transfer-Encoding: identity\r\n",
                "Transfer-Encoding: xchunked\r\n",
                "Transfer-Encoding:\r\n",
                "Transfer-Encoding: gzip, chunked\r\n",
                "Transfer-Encoding: chunked, chunked\r\n",
                "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n",
                "Content-Length: 5\r\nTransfer-Encoding: gzip\r\n",
                "Sec-WebSocket-Key1: a\r\nSec-WebSocket-Key2: b\r\n"
            })
    void anUnknownBodyLengthIsRefused(String fields) throws Exception {
        String smuggled = request("GET", "/read/smuggled", "b", "", "");
        assertStatus(400, request("GET", "/read/x", "a", fields, "") + "0\r\n\r\n" + smuggled);
    }

    /** Guards against lengths that Netty only checks in requests of HTTP/1.1. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "Content-Length: 0\r\nContent-Length: 5\r\n",
                "Transfer-Encoding: chunked\r\n",
                "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n"
            })
    void anUnknownBodyLengthOfHttp10IsRefused(String fields) throws Exception {
        assertStatus(400, request("POST", "/read/x", "a", fields, "").replace("HTTP/1.1", "HTTP/1.0") + "0\r\n\r\n");
    }

    /** Guards against requests that are routed by one host or id and run by another. */
    @Test
    void aRepeatedHostOrIdIsRefused() throws Exception {
        assertStatus(400, request("GET", "/read/x", "a", "Host: other.example\r\n", ""));
        assertStatus(400, request("GET", "/read/x", "a", "request-id: b\r\n", ""));
    }

    /** Guards against a tunnel to a target, whose response would have no end. */
    @Test
    void aTunnelIsRefused() throws Exception {
        assertStatus(400, request("CONNECT", "/read/x", "a", "", "") + "\1\2\3");
        assertStatus(400, request("CONNECT", "beads.example:443", "a", "", "") + "\1\2\3");
        assertStatus(400, request("OPTIONS", "*", "a", "", ""));
        assertStatus(400, "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n");
    }

    @Test
    void bytesThatAreNotARequest() throws Exception {
        assertStatus(400, "\u0001\u0002 nonsense\r\n\r\n");
        assertStatus(400, "GET  /read/x\r\n\r\n");
    }

    @Test
    void aSlowRequestTimesOut() throws Exception {
        try (Socket slow = gateway.connect()) {
            slow.getOutputStream().write("GET /read/x HTTP/1.1\r\nHost: be".getBytes(StandardCharsets.UTF_8));
            assertThat(GatewayHarness.readAll(slow.getInputStream())).startsWith("HTTP/1.1 408");
        }
    }

    @Test
    void withoutAFreshConfigurationRequestsWithAKeyAreRefused() throws Exception {
        gateway.ageMillis = 4_001;
        assertStatus(503, request("GET", "/read/x", "a", "", ""));
        gateway.ageMillis = 2_000;
        assertThat(gateway.registry.get("gateway.turned.away").counter().count())
                .isEqualTo(1);
        assertStatus(503, request("GET", "/unknown/x", "a", "", ""));
        assertStatus(503, request("GET", "/read/x", "a", "", "").replace("key-1", "key-2"));
        gateway.ageMillis = 0;
    }
}
