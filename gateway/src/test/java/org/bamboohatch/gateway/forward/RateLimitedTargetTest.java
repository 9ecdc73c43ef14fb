package org.bamboohatch.gateway.forward;

import java.io.IOException;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

import static org.assertj.core.api.Assertions.assertThat;
import static org.bamboohatch.gateway.forward.FakeTarget.answer;
import static org.bamboohatch.gateway.forward.FakeTarget.write;
import static org.bamboohatch.gateway.forward.GatewayHarness.request;

/** A target that names a limit gets more than that if each gateway sends what it would otherwise, or the whole limit. */
@Timeout(60)
class RateLimitedTargetTest {

    private static final double LIMIT_PER_SECOND = 1;

    /** Time after which the limit holds, in milliseconds. */
    private static final long CONTACT_MS = 3_000;

    private static final long WINDOW_MS = 4_000;

    /** Requests that may reach a target within a window. */
    private static final int MOST_PER_WINDOW = (int) (1.5 * LIMIT_PER_SECOND * WINDOW_MS / 1_000) + 5;

    private static final long REQUEST_INTERVAL_MS = 20;

    private static final int CALLERS = 32;

    /** A target that records when requests arrive. */
    private static final class LimitedTarget implements AutoCloseable {

        private final List<Long> arrivals = new CopyOnWriteArrayList<>();

        private final FakeTarget target = new FakeTarget(this::serve);

        private volatile boolean limited = true;

        LimitedTarget() throws IOException {}

        private boolean serve(FakeTarget.ReceivedRequest received, Socket connection) throws IOException {
            arrivals.add(TimeUnit.NANOSECONDS.toMillis(System.nanoTime()));
            String text = answer(received.id(), "body");
            String field = "Target-Limit: " + LIMIT_PER_SECOND + "\r\nAnswer-Seal";
            write(connection, limited ? text.replace("Answer-Seal", field) : text);
            return true;
        }

        /** Returns the largest number of requests in a window that begins after the limit holds. */
        long mostPerWindow() {
            return arrivals.stream()
                    .filter(begin -> begin >= arrivals.get(0) + CONTACT_MS)
                    .mapToLong(begin -> arrivals.stream()
                            .filter(arrival -> arrival >= begin && arrival < begin + WINDOW_MS)
                            .count())
                    .max()
                    .orElse(0);
        }

        @Override
        public void close() throws IOException {
            target.close();
        }
    }

    /** Sends requests to both gateways in turn, some at a time, and returns the responses. */
    private static List<String> callFor(long millis, GatewayHarness first, GatewayHarness second) throws Exception {
        ExecutorService callers = Executors.newFixedThreadPool(CALLERS);
        List<Future<String>> calls = new ArrayList<>();
        long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(millis);
        for (int number = 0; System.nanoTime() < end; number++) {
            GatewayHarness gateway = number % 2 == 0 ? first : second;
            String text = request("GET", "/read/x", "a" + number, "", "");
            calls.add(callers.submit(() -> gateway.call(text)));
            TimeUnit.MILLISECONDS.sleep(REQUEST_INTERVAL_MS);
        }
        List<String> responses = new ArrayList<>();
        for (Future<String> call : calls) {
            responses.add(call.get());
        }
        callers.shutdown();
        return responses;
    }

    @Test
    void aTargetGetsNoMoreThanItsLimitFromAllGatewaysTogether() throws Exception {
        try (LimitedTarget one = new LimitedTarget();
                LimitedTarget other = new LimitedTarget();
                GatewayHarness first = new GatewayHarness(one.target, other.target);
                GatewayHarness second = new GatewayHarness(one.target, other.target)) {
            first.exchangeWith(second);
            List<String> responses = callFor(CONTACT_MS + 2 * WINDOW_MS, first, second);
            assertThat(List.of(one.mostPerWindow(), other.mostPerWindow()))
                    .allMatch(requests -> requests <= MOST_PER_WINDOW);
            assertThat(responses.get(responses.size() - 1))
                    .as("what no target takes is refused at once")
                    .startsWith("HTTP/1.1 503")
                    .containsIgnoringCase("retry-after")
                    .contains("not-run");
        }
    }
}
