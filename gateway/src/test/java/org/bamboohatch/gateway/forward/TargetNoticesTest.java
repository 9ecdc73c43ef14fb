package org.bamboohatch.gateway.forward;

import java.net.Socket;
import java.util.OptionalLong;
import java.util.concurrent.CountDownLatch;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

import static org.assertj.core.api.Assertions.assertThat;
import static org.bamboohatch.gateway.forward.FakeTarget.answer;
import static org.bamboohatch.gateway.forward.FakeTarget.write;
import static org.bamboohatch.gateway.forward.GatewayHarness.request;

/** What targets say of themselves in responses is obeyed: those that leave, or ask for a pause, get no new requests. */
@Timeout(30)
class TargetNoticesTest {

    private static final int REQUESTS = 12;

    /** Time in which a report certainly reaches another gateway, also if the first one is lost, in milliseconds. */
    private static final long REPORT_MS = 2_500;

    private static boolean serve(FakeTarget.ReceivedRequest received, Socket connection) throws java.io.IOException {
        write(connection, answer(received.id(), "body of " + received.id()));
        return true;
    }

    private static boolean serveLeaving(FakeTarget.ReceivedRequest received, Socket connection)
            throws java.io.IOException {
        String text = answer(received.id(), "body of " + received.id());
        write(connection, text.replace("Answer-Seal", "Target-Leaving: 1\r\nAnswer-Seal"));
        return true;
    }

    private static FakeTarget.Script refusing(String retryAfter) {
        return (received, connection) -> {
            write(
                    connection,
                    "HTTP/1.1 503 Full\r\nRequest-Id: " + received.id() + "\r\nNot-Executed: 1\r\nRetry-After: "
                            + retryAfter + "\r\nContent-Length: 0\r\n\r\n");
            return true;
        };
    }

    private static void callAll(GatewayHarness gateway, String prefix) throws Exception {
        for (int number = 0; number < REQUESTS; number++) {
            assertThat(gateway.call(request("GET", "/read/x", prefix + number, "", "")))
                    .endsWith("body of " + prefix + number);
        }
    }

    @Test
    void aTargetThatLeavesGetsNoNewRequestUntilItsNextIncarnation() throws Exception {
        try (FakeTarget leaving = new FakeTarget(TargetNoticesTest::serveLeaving);
                FakeTarget staying = new FakeTarget(TargetNoticesTest::serve);
                GatewayHarness gateway = new GatewayHarness(leaving, staying)) {
            callAll(gateway, "a");
            assertThat(leaving.received).hasSizeLessThan(2);
            gateway.apply(leaving, staying);
            gateway.apply(staying);
            gateway.apply(leaving, staying);
            callAll(gateway, "b");
            assertThat(leaving.received).as("announced again").hasSizeLessThan(2);
            gateway.incarnation++;
            gateway.apply(leaving);
            assertThat(gateway.call(request("GET", "/read/x", "c1", "", ""))).endsWith("body of c1");
        }
    }

    @Test
    void ifAllTargetsLeaveRequestsAreRefusedAsNotRun() throws Exception {
        try (FakeTarget leaving = new FakeTarget(TargetNoticesTest::serveLeaving);
                GatewayHarness gateway = new GatewayHarness(leaving)) {
            gateway.call(request("GET", "/read/x", "a1", "", ""));
            assertThat(gateway.call(request("POST", "/order/x", "a2", "", "crates")))
                    .startsWith("HTTP/1.1 503")
                    .contains("not-run");
            assertThat(leaving.received).hasSize(1);
        }
    }

    @Test
    void aTargetThatAsksForAPauseGetsNothingMeanwhile() throws Exception {
        try (FakeTarget paused = new FakeTarget(refusing("30"));
                FakeTarget other = new FakeTarget(TargetNoticesTest::serve);
                GatewayHarness gateway = new GatewayHarness(paused, other)) {
            callAll(gateway, "a");
            assertThat(paused.received).hasSizeLessThan(2);
            gateway.apply(other);
            gateway.apply(paused, other);
            callAll(gateway, "b");
            assertThat(paused.received).as("announced again").hasSizeLessThan(2);
        }
    }

    /** The response arrives when the target is not announced; a later announcement makes it known again. */
    /** The other gateway would have to be refused first, and again by each target that asks for a pause. */
    @Test
    void aPauseThatATargetAsksOneGatewayForBindsTheOther() throws Exception {
        try (FakeTarget paused = new FakeTarget(refusing("30"));
                GatewayHarness first = new GatewayHarness(paused);
                GatewayHarness second = new GatewayHarness(paused)) {
            first.exchangeWith(second);
            first.call(request("GET", "/read/x", "a1", "", ""));
            Thread.sleep(REPORT_MS);
            assertThat(second.call(request("GET", "/read/x", "b1", "", "")))
                    .startsWith("HTTP/1.1 503")
                    .containsIgnoringCase("retry-after");
            assertThat(paused.received).hasSize(1);
        }
    }

    @Test
    void aPauseOfATargetThatIsNotAnnouncedIsObeyed() throws Exception {
        CountDownLatch withdrawn = new CountDownLatch(1);
        FakeTarget.Script refusing = (received, connection) -> {
            withdrawn.await();
            return refusing("30").answer(received, connection);
        };
        try (FakeTarget paused = new FakeTarget(refusing);
                FakeTarget other = new FakeTarget(TargetNoticesTest::serve);
                GatewayHarness gateway = new GatewayHarness(paused)) {
            Thread withdrawing = new Thread(() -> {
                gateway.withdrawOnceReceived(paused);
                withdrawn.countDown();
            });
            withdrawing.start();
            gateway.call(request("GET", "/read/x", "a1", "", ""));
            withdrawing.join();
            gateway.apply(paused, other);
            callAll(gateway, "b");
            assertThat(paused.received).hasSize(1);
        }
    }

    @Test
    void ifAllTargetsArePausedCallersAreToldTheShortestPause() throws Exception {
        try (FakeTarget first = new FakeTarget(refusing("90"));
                FakeTarget second = new FakeTarget(refusing("60"));
                GatewayHarness gateway = new GatewayHarness(first, second)) {
            gateway.call(request("POST", "/order/x", "a1", "", "crates"));
            String text = gateway.call(request("POST", "/order/x", "a2", "", "crates"));
            assertThat(text).startsWith("HTTP/1.1 503").contains("not-run");
            String delay = text.replaceAll("(?is).*retry-after: ([0-9.]+).*", "$1");
            assertThat(Double.parseDouble(delay)).isBetween(30.0, 75.0);
            assertThat(first.received.size() + second.received.size()).isEqualTo(2);
        }
    }

    @Test
    void onlyPositiveNumbersOfSecondsAreUnderstood() {
        assertThat(pause("1.5")).hasValue(1_500);
        assertThat(pause(" 2 ")).hasValue(2_000);
        for (String value : new String[] {"", "0", "-3", "soon", "NaN", "Fri, 04 Dec 2026 11:00:00 GMT"}) {
            assertThat(pause(value)).as(value).isEmpty();
        }
        assertThat(pause("1e300")).hasValue(Long.MAX_VALUE);
    }

    private static OptionalLong pause(String value) {
        HttpResponse head = new DefaultHttpResponse(
                HttpVersion.HTTP_1_1, HttpResponseStatus.SERVICE_UNAVAILABLE, new DefaultHttpHeaders(false));
        head.headers().set(HttpHeaderNames.RETRY_AFTER, value);
        return TargetNotices.pauseMillis(head);
    }
}
