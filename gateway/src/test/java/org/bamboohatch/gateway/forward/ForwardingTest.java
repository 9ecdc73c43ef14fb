package org.bamboohatch.gateway.forward;

import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;
import static org.bamboohatch.gateway.forward.FakeTarget.answer;
import static org.bamboohatch.gateway.forward.FakeTarget.chunk;
import static org.bamboohatch.gateway.forward.FakeTarget.streamHead;
import static org.bamboohatch.gateway.forward.FakeTarget.write;
import static org.bamboohatch.gateway.forward.GatewayHarness.request;

/** Forwarding of requests to targets that fail or send invalid responses. */
@Timeout(30)
class ForwardingTest {

    private static boolean serve(FakeTarget.ReceivedRequest received, Socket connection) throws java.io.IOException {
        write(connection, answer(received.id(), "body of " + received.id()));
        return true;
    }

    private static int receivedCount(FakeTarget... targets) {
        int receivedCount = 0;
        for (FakeTarget target : targets) {
            receivedCount += target.received.size();
        }
        return receivedCount;
    }

    @Test
    void aRequestIsForwardedUnchangedAndItsResponseReturned() throws Exception {
        try (FakeTarget target = new FakeTarget(ForwardingTest::serve);
                GatewayHarness gateway = new GatewayHarness(target)) {
            String text = gateway.call(request("POST", "/order/x?y=1", "a1", "Other: kept\r\n", "crates"));
            assertThat(text)
                    .startsWith("HTTP/1.1 200")
                    .contains("Answer-Seal: seal")
                    .endsWith("body of a1");
            FakeTarget.ReceivedRequest received = target.received.get(0);
            assertThat(received.line()).isEqualTo("POST /order/x?y=1 HTTP/1.1");
            assertThat(new String(received.body(), StandardCharsets.UTF_8)).isEqualTo("crates");
            assertThat(received.headers())
                    .containsEntry("client-account", "oaxaca")
                    .containsEntry("expected-target", "target-0")
                    .containsEntry("other", "kept")
                    .containsKey("request-timeout-ms")
                    .doesNotContainKey("api-key");
        }
    }

    @Test
    void headersReservedForTheGatewayAreNotForwarded() throws Exception {
        try (FakeTarget target = new FakeTarget(ForwardingTest::serve);
                GatewayHarness gateway = new GatewayHarness(target)) {
            gateway.call(request("GET", "/open/x", "a1", "Client-Account: forged\r\nReading-Helpers: x\r\n", "")
                    .replace("Api-Key: key-1\r\n", ""));
            assertThat(target.received.get(0).headers()).doesNotContainKeys("client-account", "reading-helpers");
        }
    }

    /** Guards against callers that have the gateway remove what the target needs, and against upgrades. */
    @Test
    void fieldsOfTheCallersConnectionAreNotForwardedButHostAndIdAre() throws Exception {
        try (FakeTarget target = new FakeTarget(ForwardingTest::serve);
                GatewayHarness gateway = new GatewayHarness(target)) {
            String fields = "Connection: host, Request-ID, Upgrade, HTTP2-Settings,x-own\r\nUpgrade: h2c\r\n"
                    + "HTTP2-Settings: x\r\nX-Own: y\r\nOther: kept\r\n";
            String seen = gateway.call(request("POST", "/order/x", "a1", fields, "crates"));
            assertThat(seen).startsWith("HTTP/1.1 200").endsWith("body of a1");
            assertThat(target.received.get(0).headers())
                    .containsEntry("host", "beads.example")
                    .containsEntry("request-id", "a1")
                    .containsEntry("other", "kept")
                    .doesNotContainKeys("connection", "upgrade", "http2-settings", "x-own");
        }
    }

    @Test
    void aNonIdempotentRequestIsNotRepeatedAfterItMayHaveRun() throws Exception {
        FakeTarget.Script closingWithoutResponse = (received, connection) -> false;
        try (FakeTarget first = new FakeTarget(closingWithoutResponse);
                FakeTarget second = new FakeTarget(closingWithoutResponse);
                GatewayHarness gateway = new GatewayHarness(first, second)) {
            String text = gateway.call(request("POST", "/order/x", "a1", "", "crates"));
            assertThat(text).startsWith("HTTP/1.1 502").contains("\"outcome\":\"unknown\"");
            assertThat(receivedCount(first, second)).isEqualTo(1);
        }
    }

    @Test
    void aRepeatableRequestIsSentToAnotherTarget() throws Exception {
        AtomicInteger calls = new AtomicInteger();
        FakeTarget.Script closingOnFirstRequest =
                (received, connection) -> calls.getAndIncrement() > 0 && serve(received, connection);
        try (FakeTarget first = new FakeTarget(closingOnFirstRequest);
                FakeTarget second = new FakeTarget(closingOnFirstRequest);
                GatewayHarness gateway = new GatewayHarness(first, second)) {
            assertThat(gateway.call(request("GET", "/read/x", "a1", "", ""))).endsWith("body of a1");
            assertThat(receivedCount(first, second)).isEqualTo(2);
        }
    }

    @Test
    void aRequestThatNoTargetRanIsRefusedWithARetryDelay() throws Exception {
        FakeTarget.Script refusing = (received, connection) -> {
            write(
                    connection,
                    "HTTP/1.1 503 Full\r\nRequest-Id: " + received.id()
                            + "\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n");
            return true;
        };
        try (FakeTarget first = new FakeTarget(refusing);
                FakeTarget second = new FakeTarget(refusing);
                GatewayHarness gateway = new GatewayHarness(first, second)) {
            String text = gateway.call(request("POST", "/order/x", "a1", "", "crates"));
            assertThat(text)
                    .startsWith("HTTP/1.1 503")
                    .containsIgnoringCase("retry-after")
                    .contains("not-run");
        }
    }

    @Test
    void anErrorResponseOfATargetIsForwardedWithItsSeal() throws Exception {
        FakeTarget.Script failing = (received, connection) -> {
            write(connection, answer(received.id(), "broken").replace("200 OK", "500 Broken"));
            return true;
        };
        try (FakeTarget target = new FakeTarget(failing);
                GatewayHarness gateway = new GatewayHarness(target)) {
            String text = gateway.call(request("POST", "/order/x", "a1", "", "crates"));
            assertThat(text)
                    .startsWith("HTTP/1.1 500")
                    .contains("Answer-Seal: seal")
                    .endsWith("broken");
        }
    }

    @Test
    void aLateSecondResponseIsDiscarded() throws Exception {
        FakeTarget.Script answeringTwice = (received, connection) -> {
            write(
                    connection,
                    answer(received.id(), "body of " + received.id())
                            + answer(received.id(), "late of " + received.id()));
            return true;
        };
        try (FakeTarget target = new FakeTarget(answeringTwice);
                GatewayHarness gateway = new GatewayHarness(target)) {
            for (int number = 0; number < 20; number++) {
                assertThat(gateway.call(request("GET", "/read/x", "a" + number, "", "")))
                        .endsWith("body of a" + number);
            }
        }
    }

    @Test
    void aTruncatedUnsealedOrMalformedResponseIsAnError() throws Exception {
        for (String malformed : new String[] {
            "HTTP/1.1 200 OK\r\nRequest-Id: a1\r\nAnswer-Seal: s\r\nContent-Length: 50\r\n\r\npart",
            "HTTP/1.1 200 OK\r\nRequest-Id: a1\r\nContent-Length: 4\r\n\r\nfull",
            "no answer at all\r\n\r\n"
        }) {
            FakeTarget.Script script = (received, connection) -> {
                write(connection, malformed);
                return false;
            };
            try (FakeTarget target = new FakeTarget(script);
                    GatewayHarness gateway = new GatewayHarness(target)) {
                assertThat(gateway.call(request("POST", "/order/x", "a1", "", "crates")))
                        .as(malformed)
                        .startsWith("HTTP/1.1 502");
            }
        }
    }

    @Test
    void aResponseWithoutALengthEndsWithItsConnection() throws Exception {
        FakeTarget.Script withoutLength = (received, connection) -> {
            write(
                    connection,
                    "HTTP/1.1 200 OK\r\nRequest-Id: " + received.id() + "\r\nAnswer-Seal: s\r\n\r\nwhole body");
            return false;
        };
        try (FakeTarget target = new FakeTarget(withoutLength);
                GatewayHarness gateway = new GatewayHarness(target)) {
            assertThat(gateway.call(request("POST", "/order/x", "a1", "", "crates")))
                    .startsWith("HTTP/1.1 200")
                    .endsWith("whole body");
        }
    }

    /** Such a stream ends with its connection, so its end looks the same after a crash of the target. */
    @Test
    void aStreamWithoutALengthThatEndsBeforeItsFirstEventIsSentToAnotherTarget() throws Exception {
        AtomicInteger calls = new AtomicInteger();
        FakeTarget.Script endingFirst = (received, connection) -> {
            String head = streamHead(received.id(), "s").replace("Transfer-Encoding: chunked\r\n", "");
            write(connection, calls.getAndIncrement() == 0 ? head : head + "id: 1\ndata: a\n\n");
            return false;
        };
        try (FakeTarget first = new FakeTarget(endingFirst);
                FakeTarget second = new FakeTarget(endingFirst);
                GatewayHarness gateway = new GatewayHarness(first, second)) {
            assertThat(gateway.call(request("POST", "/stream/x", "a1", "", "prompt")))
                    .startsWith("HTTP/1.1 200")
                    .contains("data: a")
                    .endsWith("0\r\n\r\n");
            assertThat(receivedCount(first, second)).isEqualTo(2);
        }
    }

    @Test
    void anInterruptedStreamIsResumedAtAnotherTargetWithinTheSameResponse() throws Exception {
        FakeTarget.Script script = (received, connection) -> {
            String last = received.headers().get("last-event-id");
            if (last == null) {
                write(
                        connection,
                        streamHead(received.id(), "first") + chunk("id: 1\ndata: a\n\n") + chunk("id: 2\ndata:"));
                return false;
            }
            write(connection, streamHead(received.id(), "second") + chunk("id: 2\ndata: b\n\n") + "0\r\n\r\n");
            return true;
        };
        try (FakeTarget first = new FakeTarget(script);
                FakeTarget second = new FakeTarget(script);
                GatewayHarness gateway = new GatewayHarness(first, second)) {
            String text = gateway.call(request("POST", "/stream/x", "a1", "", "prompt"));
            assertThat(text).contains("Answer-Seal: first").doesNotContain("second");
            assertThat(text.replaceAll("\r\n[0-9a-f]+\r\n|\r\n", "")).contains("id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
            assertThat(text).endsWith("0\r\n\r\n");
            assertThat(receivedCount(first, second)).isEqualTo(2);
        }
    }

    @Test
    void aStreamThatCannotBeResumedIsAborted() throws Exception {
        FakeTarget.Script script = (received, connection) -> {
            write(connection, streamHead(received.id(), "s") + chunk("id: 1\ndata: a\n\n"));
            return false;
        };
        try (FakeTarget target = new FakeTarget(script);
                GatewayHarness gateway = new GatewayHarness(target)) {
            String text = gateway.call(request("POST", "/stream/x", "a1", "", "prompt"));
            assertThat(text).contains("id: 1").doesNotContain("\r\n0\r\n\r\n");
        }
    }

    @Test
    void aDisconnectedCallerCancelsItsRequest() throws Exception {
        FakeTarget.Script waiting = (received, connection) -> {
            connection.getInputStream().read();
            return false;
        };
        try (FakeTarget target = new FakeTarget(waiting);
                GatewayHarness gateway = new GatewayHarness(target)) {
            try (Socket caller = gateway.connect()) {
                caller.getOutputStream()
                        .write(request("POST", "/stream/x", "a1", "", "prompt").getBytes(StandardCharsets.UTF_8));
                while (target.received.isEmpty()) {
                    Thread.sleep(5);
                }
            }
            FakeTarget.ReceivedRequest received = target.received.get(0);
            assertThat(received.id()).isEqualTo("a1");
            long limit = System.nanoTime() + TimeUnit.SECONDS.toNanos(5);
            while (gateway.forwarder.openRequests() > 0 && System.nanoTime() < limit) {
                Thread.sleep(5);
            }
            assertThat(gateway.forwarder.openRequests()).isZero();
        }
    }

    @Test
    void aRequestIsAnsweredAtItsDeadline() throws Exception {
        FakeTarget.Script unresponsive = (received, connection) -> {
            Thread.sleep(5_000);
            return false;
        };
        try (FakeTarget target = new FakeTarget(unresponsive);
                GatewayHarness gateway = new GatewayHarness(target)) {
            String text = gateway.call(request("POST", "/order/x", "a1", "Request-Timeout-Ms: 300\r\n", "crates"));
            assertThat(text).startsWith("HTTP/1.1 504").contains("unknown");
        }
    }

    @Test
    void connectionsToATargetAreReused() throws Exception {
        AtomicInteger connections = new AtomicInteger();
        FakeTarget.Script reportingPort = (received, connection) -> {
            connections.set(Math.max(connections.get(), connection.getPort() == 0 ? 0 : connections.get()));
            write(connection, answer(received.id(), "from " + connection.getPort()));
            return true;
        };
        try (FakeTarget target = new FakeTarget(reportingPort);
                GatewayHarness gateway = new GatewayHarness(target);
                Socket caller = gateway.connect()) {
            String keepAlive = request("GET", "/read/x", "a1", "", "").replace("Connection: close\r\n", "");
            String first = exchange(caller, keepAlive);
            String second = exchange(caller, keepAlive.replace("a1", "a2"));
            assertThat(first).isEqualTo(second).startsWith("from ");
        }
    }

    private static String exchange(Socket caller, String request) throws Exception {
        caller.getOutputStream().write(request.getBytes(StandardCharsets.UTF_8));
        InputStream stream = caller.getInputStream();
        int length = 0;
        for (String line = FakeTarget.readLine(stream); !line.isEmpty(); line = FakeTarget.readLine(stream)) {
            if (line.toLowerCase(java.util.Locale.ROOT).startsWith("content-length:")) {
                length = Integer.parseInt(line.substring(line.indexOf(':') + 1).strip());
            }
        }
        return new String(stream.readNBytes(length), StandardCharsets.UTF_8);
    }

    /** Guards against requests whose connection is closed because a target announced an address that cannot be used. */
    @ParameterizedTest
    @ValueSource(strings = {"127.0.0.1:99999", "127.0.0.1:0", "127.0.0.1:", "127.0.0.1", ""})
    void aTargetWithAMalformedAddressIsLeftOut(String address) throws Exception {
        try (FakeTarget sound = new FakeTarget(ForwardingTest::serve);
                GatewayHarness gateway = new GatewayHarness()) {
            gateway.applyAddresses(List.of(address));
            assertThat(gateway.call(request("POST", "/order/x", "a1", "", "crates")))
                    .startsWith("HTTP/1.1 503")
                    .contains("not-run");
            gateway.applyAddresses(List.of(address, sound.address()));
            for (int number = 0; number < 4; number++) {
                assertThat(gateway.call(request("POST", "/order/x", "b" + number, "", "crates")))
                        .endsWith("body of b" + number);
            }
        }
    }

    /**
     * Guards against "not run" about a request that runs, and against a second run of it elsewhere: the refusal of an earlier
     * request comes once more on a connection that is in use again.
     */
    @ParameterizedTest
    @ValueSource(strings = {"Request-Id: first\r\n", ""})
    void anEarlierRefusalThatIsWrittenAgainIsNotTheAnswer(String idLine) throws Exception {
        String refusal = "HTTP/1.1 503 Full\r\n" + idLine + "Not-Executed: 1\r\nContent-Length: 4\r\n\r\nfull";
        Set<Socket> used = ConcurrentHashMap.newKeySet();
        FakeTarget.Script repeating = (received, connection) -> {
            boolean first = received.id().equals("first");
            if (!used.add(connection) || first) {
                write(connection, refusal);
            }
            if (!first) {
                TimeUnit.MILLISECONDS.sleep(20);
                serve(received, connection);
            }
            return true;
        };
        try (FakeTarget target = new FakeTarget(repeating);
                GatewayHarness gateway = new GatewayHarness(target)) {
            assertThat(gateway.call(request("POST", "/order/x", "first", "", "crates")))
                    .startsWith("HTTP/1.1 503")
                    .contains("not-run");
            for (int number = 0; number < 3; number++) {
                assertThat(gateway.call(request("POST", "/order/x", "a" + number, "", "crates")))
                        .startsWith("HTTP/1.1 200")
                        .endsWith("body of a" + number);
            }
            assertThat(target.received).hasSize(4);
        }
    }
}
