package org.bamboohatch.gateway.forward;

import java.io.IOException;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

import static org.assertj.core.api.Assertions.assertThat;
import static org.bamboohatch.gateway.forward.FakeTarget.chunk;
import static org.bamboohatch.gateway.forward.FakeTarget.streamHead;
import static org.bamboohatch.gateway.forward.FakeTarget.write;
import static org.bamboohatch.gateway.forward.GatewayHarness.request;

/**
 * A part of a prompt that ends each engine that generates on it goes through the whole fleet, one engine after the other,
 * if gateways send each request with it to the next engine.
 */
@Timeout(60)
class CrashingPromptTest {

    private static final String CRASHING_PART = "bad";

    private static final int ENGINES = 24;

    /** Engines that may end before gateways must have found the part. */
    private static final int ENDED_ENGINES = 5;

    /** Requests after which no engine is expected to end any more. */
    private static final int MOST_REQUESTS = 40;

    /** Time after that within which all gateways must know, in milliseconds. */
    private static final long CONTACT_MS = 3_000;

    /** Requests with the part that may still be sent to engines after that time. */
    private static final int LATE_REQUESTS = 3;

    private final AtomicInteger crashes = new AtomicInteger();

    private final AtomicInteger crashingRequests = new AtomicInteger();

    private final List<FakeTarget> engines = new ArrayList<>();

    private GatewayHarness first;

    private GatewayHarness second;

    private int lastId;

    @BeforeEach
    void start() throws Exception {
        for (int number = 0; number < ENGINES; number++) {
            int engine = number;
            engines.add(new FakeTarget((received, connection) -> generate(engine, received, connection)));
        }
        first = new GatewayHarness(engines.toArray(FakeTarget[]::new));
        second = new GatewayHarness(engines.toArray(FakeTarget[]::new));
        first.exchangeWith(second);
    }

    @AfterEach
    void stop() throws IOException {
        first.close();
        second.close();
        for (FakeTarget engine : engines) {
            engine.close();
        }
    }

    private boolean generate(int engine, FakeTarget.ReceivedRequest received, Socket connection) throws IOException {
        write(connection, streamHead(received.id(), "seal"));
        if (received.headers().get("prompt-parts").contains(CRASHING_PART + ":")) {
            crashingRequests.incrementAndGet();
            crashes.incrementAndGet();
            engines.get(engine).crash();
            return false;
        }
        write(connection, chunk("id: 1\ndata: x\n\n") + "0\r\n\r\n");
        return true;
    }

    private String call(GatewayHarness gateway, String sharedParts) throws IOException {
        lastId++;
        String headers = "Token-Counts: 1000,50\r\nPrompt-Parts: " + sharedParts + "own" + lastId + ":10\r\n";
        return gateway.call(request("POST", "/generate/x", "a" + lastId, headers, "prompt " + lastId));
    }

    /** Sends requests with the part to both gateways in turn until enough engines have ended, or the part is found. */
    private void callUntilEnginesEnd() throws IOException {
        for (int number = 0; crashes.get() < ENDED_ENGINES && number < MOST_REQUESTS; number++) {
            call(number % 2 == 0 ? first : second, "common:40," + CRASHING_PART + ":90,extra" + number + ":20,");
        }
    }

    @Test
    void aPartThatEndedEnginesIsNotSentToFurtherOnes() throws Exception {
        callUntilEnginesEnd();
        TimeUnit.MILLISECONDS.sleep(CONTACT_MS);
        int before = crashingRequests.get();
        for (int number = 0; number < 5; number++) {
            call(first, "common:40," + CRASHING_PART + ":90,more" + number + ":20,");
            call(second, "common:40," + CRASHING_PART + ":90,more" + number + ":20,");
        }
        assertThat(crashingRequests.get() - before).isLessThanOrEqualTo(LATE_REQUESTS);
    }

    @Test
    void requestsWithTheOtherPartsOfTheSamePromptsAreServed() throws Exception {
        assertThat(call(first, "common:40,")).startsWith("HTTP/1.1 200").contains("data: x");
        callUntilEnginesEnd();
        TimeUnit.MILLISECONDS.sleep(CONTACT_MS);
        for (GatewayHarness gateway : List.of(first, second)) {
            assertThat(call(gateway, "common:40,extra0:20,"))
                    .startsWith("HTTP/1.1 200")
                    .contains("data: x");
        }
    }

    /** Callers learn at once that the request did not run. */
    @Test
    void aRequestWithThePartIsRefusedAsNotRun() throws Exception {
        callUntilEnginesEnd();
        TimeUnit.MILLISECONDS.sleep(CONTACT_MS);
        for (GatewayHarness gateway : List.of(first, second)) {
            assertThat(call(gateway, "common:40," + CRASHING_PART + ":90,"))
                    .startsWith("HTTP/1.1 503")
                    .containsIgnoringCase("retry-after")
                    .contains("not-run");
        }
    }
}
