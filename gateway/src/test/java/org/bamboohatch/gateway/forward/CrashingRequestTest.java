package org.bamboohatch.gateway.forward;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

import static org.assertj.core.api.Assertions.assertThat;
import static org.bamboohatch.gateway.forward.FakeTarget.answer;
import static org.bamboohatch.gateway.forward.FakeTarget.chunk;
import static org.bamboohatch.gateway.forward.FakeTarget.streamHead;
import static org.bamboohatch.gateway.forward.FakeTarget.write;
import static org.bamboohatch.gateway.forward.GatewayHarness.request;

/** A request that ends each target that runs it, and is repeated by its caller, ends one target after the other. */
@Timeout(60)
class CrashingRequestTest {

    private static final String CRASHING_BODY = "crash";

    /** Body of a request that ends its target after the first event of the response. */
    private static final String LATE_CRASHING_BODY = "crash late";

    private static final String SLOW_BODY = "slow";

    private static final int TARGETS = 24;

    /** Targets that may end before gateways must have found the request. */
    private static final int ENDED_TARGETS = 3;

    /** Requests after which no target is expected to end any more. */
    private static final int MOST_REQUESTS = 40;

    /** Time after that within which all gateways must know, in milliseconds. */
    private static final long CONTACT_MS = 3_000;

    /** Requests that may still be sent to targets after that time. */
    private static final int LATE_REQUESTS = 3;

    /** Time after which gateways have judged the last crashes, in milliseconds. */
    private static final long SETTLING_MS = 500;

    /** Time for which a target works on a slow request, in milliseconds. */
    private static final long SLOW_MS = 400;

    private final AtomicInteger crashes = new AtomicInteger();

    private final AtomicInteger crashingRequests = new AtomicInteger();

    private final AtomicInteger slowRequests = new AtomicInteger();

    private final List<FakeTarget> targets = new ArrayList<>();

    private GatewayHarness first;

    private GatewayHarness second;

    private final AtomicInteger lastId = new AtomicInteger();

    @BeforeEach
    void start() throws Exception {
        for (int number = 0; number < TARGETS; number++) {
            int target = number;
            targets.add(new FakeTarget((received, connection) -> respond(target, received, connection)));
        }
        first = new GatewayHarness(targets.toArray(FakeTarget[]::new));
        second = new GatewayHarness(targets.toArray(FakeTarget[]::new));
        first.exchangeWith(second);
    }

    @AfterEach
    void stop() throws IOException {
        first.close();
        second.close();
        for (FakeTarget target : targets) {
            target.close();
        }
    }

    private boolean respond(int target, FakeTarget.ReceivedRequest received, Socket connection)
            throws IOException, InterruptedException {
        String body = new String(received.body(), StandardCharsets.UTF_8);
        boolean stream = received.headers().containsKey("prompt-parts");
        int next = 1 + Integer.parseInt(received.headers().getOrDefault("last-event-id", "0"));
        String event = "id: " + next + "\ndata: x\n\n";
        if (stream) {
            write(connection, streamHead(received.id(), "seal"));
        }
        if (body.equals(LATE_CRASHING_BODY)) {
            write(connection, chunk(event));
        }
        if (body.equals(CRASHING_BODY) || body.equals(LATE_CRASHING_BODY)) {
            crashingRequests.incrementAndGet();
            crashes.incrementAndGet();
            targets.get(target).crash();
            return false;
        }
        if (body.equals(SLOW_BODY)) {
            slowRequests.incrementAndGet();
            TimeUnit.MILLISECONDS.sleep(SLOW_MS);
        }
        write(connection, stream ? chunk(event) + "0\r\n\r\n" : answer(received.id(), "data: x"));
        return true;
    }

    private String call(GatewayHarness gateway, String path, String moreHeaders, String body) throws IOException {
        return gateway.call(request("POST", path, "a" + lastId.incrementAndGet(), moreHeaders, body));
    }

    private String call(GatewayHarness gateway, String path, String body) throws IOException {
        return call(gateway, path, "", body);
    }

    /** Calls a model engine; the prompt has a part in common with many others. */
    private String generate(GatewayHarness gateway, String body) throws IOException {
        return call(gateway, "/generate/x", "Token-Counts: 1000,50\r\nPrompt-Parts: common:40,own:10\r\n", body);
    }

    /** Sends the crashing request to both gateways in turn until enough targets have ended, or it is found. */
    private void callUntilTargetsEnd(String path) throws IOException {
        for (int number = 0; crashes.get() < ENDED_TARGETS && number < MOST_REQUESTS; number++) {
            call(number % 2 == 0 ? first : second, path, CRASHING_BODY);
        }
    }

    private int requestsAfterContact(String path) throws Exception {
        callUntilTargetsEnd(path);
        TimeUnit.MILLISECONDS.sleep(CONTACT_MS);
        int before = crashingRequests.get();
        for (int number = 0; number < 5; number++) {
            call(first, path, CRASHING_BODY);
            call(second, path, CRASHING_BODY);
        }
        return crashingRequests.get() - before;
    }

    /** Sends a request that ends engines to both gateways, and sound ones with the same prompt part beside it. */
    private int lateRequestsBesideSoundOnes(String crashingBody) throws Exception {
        assertServed(generate(first, "sound"));
        for (int number = 0; crashes.get() < ENDED_TARGETS && number < MOST_REQUESTS; number++) {
            generate(number % 2 == 0 ? first : second, crashingBody);
            generate(second, "sound" + number);
        }
        TimeUnit.MILLISECONDS.sleep(CONTACT_MS);
        int before = crashingRequests.get();
        for (int number = 0; number < 5; number++) {
            generate(first, crashingBody);
            generate(second, crashingBody);
            assertServed(generate(first, "sound"));
        }
        return crashingRequests.get() - before;
    }

    private void assertServed(String response) {
        assertThat(response).startsWith("HTTP/1.1 200").contains("data: x");
    }

    @Test
    void aRequestThatEndedTargetsOfAPlainServiceIsNotSentToFurtherOnes() throws Exception {
        assertThat(requestsAfterContact("/read/x")).isLessThanOrEqualTo(LATE_REQUESTS);
    }

    @Test
    void aRequestThatMayRunOnceIsNotSentToFurtherTargetsEither() throws Exception {
        assertThat(requestsAfterContact("/order/x")).isLessThanOrEqualTo(LATE_REQUESTS);
    }

    /** Sound requests share the part of the prompt, so the part is not the cause. */
    @Test
    void aRequestThatEndedEnginesIsNotSentToFurtherOnesThoughItsPromptPartsAreSound() throws Exception {
        assertThat(lateRequestsBesideSoundOnes(CRASHING_BODY)).isLessThanOrEqualTo(LATE_REQUESTS);
    }

    /** Each response is resumed at another engine, so the caller has seen events of it. */
    @Test
    void aRequestThatEndedEnginesWithinItsResponseIsNotSentToFurtherOnes() throws Exception {
        assertThat(lateRequestsBesideSoundOnes(LATE_CRASHING_BODY)).isLessThanOrEqualTo(LATE_REQUESTS);
    }

    @Test
    void otherRequestsOfTheSameCallerAndPathAreServed() throws Exception {
        callUntilTargetsEnd("/read/x");
        TimeUnit.MILLISECONDS.sleep(CONTACT_MS);
        for (GatewayHarness gateway : List.of(first, second)) {
            assertServed(call(gateway, "/read/x", "sound"));
            assertServed(call(gateway, "/read/y", "sound"));
        }
    }

    /** Callers learn at once that the request did not run. */
    @Test
    void aRequestThatEndedTargetsIsRefusedAsNotRun() throws Exception {
        callUntilTargetsEnd("/read/x");
        TimeUnit.MILLISECONDS.sleep(CONTACT_MS);
        for (GatewayHarness gateway : List.of(first, second)) {
            assertThat(call(gateway, "/read/x", CRASHING_BODY))
                    .startsWith("HTTP/1.1 503")
                    .containsIgnoringCase("retry-after")
                    .contains("not-run");
        }
    }

    /** Targets end while many of them work on the same sound request, which is answered nowhere meanwhile. */
    @Test
    void aPopularRequestThatWasUnderWayWhereTargetsEndedForAnotherReasonIsServed() throws Exception {
        loseTargetsUnderPopularRequest(targets.subList(0, TARGETS - 1));
        for (GatewayHarness gateway : List.of(first, second)) {
            assertServed(call(gateway, "/read/x", SLOW_BODY));
        }
    }

    /** No target is left that could answer the request, so no response speaks for it until it is sent again. */
    @Test
    void aPopularRequestIsServedOnceTargetsThatLostPowerAreBack() throws Exception {
        loseTargetsUnderPopularRequest(List.copyOf(targets));
        for (int number = 0; number < TARGETS; number++) {
            int target = number;
            targets.set(number, new FakeTarget((received, connection) -> respond(target, received, connection)));
        }
        TimeUnit.MILLISECONDS.sleep(SETTLING_MS);
        for (GatewayHarness gateway : List.of(first, second)) {
            gateway.incarnation = 2;
            gateway.apply(targets.toArray(FakeTarget[]::new));
            assertServed(call(gateway, "/read/x", SLOW_BODY));
        }
    }

    /** Ends targets at one moment while a request that was served before is under way at many of them. */
    private void loseTargetsUnderPopularRequest(List<FakeTarget> lost) throws Exception {
        assertServed(call(second, "/read/x", SLOW_BODY));
        int callers = 16;
        List<Thread> threads = new ArrayList<>();
        for (int number = 0; number < callers; number++) {
            GatewayHarness gateway = number % 2 == 0 ? first : second;
            Thread caller = new Thread(() -> {
                try {
                    call(gateway, "/read/x", SLOW_BODY);
                } catch (IOException failed) {
                    throw new UncheckedIOException(failed);
                }
            });
            caller.start();
            threads.add(caller);
        }
        while (slowRequests.get() < callers + 1) {
            TimeUnit.MILLISECONDS.sleep(1);
        }
        for (FakeTarget target : lost) {
            target.crash();
        }
        for (Thread caller : threads) {
            caller.join();
        }
    }
}
