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

/**
 * A target becomes cold again while no load report arrives. Each gateway hears of it from a response of its own at most, and
 * would exceed the rate if it took the whole rate for itself or forgot the other gateway.
 */
@Timeout(60)
class ColdAgainTest {

    private static final int PER_SECOND = 4;

    private static final long COLD_MS = 5_000;

    /** Time after which each gateway has had a response that says that the target is cold, in milliseconds. */
    private static final long CONTACT_MS = 700;

    private static final long REQUEST_INTERVAL_MS = 10;

    private static final int CALLERS = 4;

    /** Requests that the target gets before it becomes cold. */
    private static final int WARM_REQUESTS = 40;

    /** A target that says in each response for how long it is still cold. */
    private static final class ColdTarget implements AutoCloseable {

        private final List<Long> arrivals = new CopyOnWriteArrayList<>();

        private final FakeTarget target = new FakeTarget(this::serve);

        private volatile long coldUntil;

        ColdTarget() throws IOException {}

        private boolean serve(FakeTarget.ReceivedRequest received, Socket connection) throws IOException {
            arrivals.add(now());
            String field = "Target-Cold-Ms: " + Math.max(0, coldUntil - now()) + "\r\nAnswer-Seal";
            write(connection, answer(received.id(), "body").replace("Answer-Seal", field));
            return true;
        }

        long arrivalsBetween(long from, long until) {
            return arrivals.stream().filter(at -> at >= from && at < until).count();
        }

        @Override
        public void close() throws IOException {
            target.close();
        }
    }

    private static long now() {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
    }

    /** Sends requests until the cold time is over. */
    private static void callUntil(GatewayHarness gateway, ColdTarget target, int caller) throws Exception {
        for (int number = 0; target.coldUntil == 0 || now() < target.coldUntil; number++) {
            gateway.call(request("GET", "/read/a", "r-" + caller + "-" + number, "", ""));
            Thread.sleep(REQUEST_INTERVAL_MS);
        }
    }

    /** Returns the number of requests that reach the target between the contact and the end of its second cold time. */
    private static long requestsWhileColdAgain(double configuredRate) throws Exception {
        try (ColdTarget cold = new ColdTarget();
                GatewayHarness first = new GatewayHarness();
                GatewayHarness second = new GatewayHarness()) {
            for (GatewayHarness gateway : List.of(first, second)) {
                gateway.coldPerSecond = configuredRate;
                gateway.apply(cold.target);
            }
            first.exchangeWith(second);
            first.loseReports();
            second.loseReports();
            ExecutorService callers = Executors.newCachedThreadPool();
            List<Future<?>> calls = new ArrayList<>();
            for (int caller = 0; caller < CALLERS; caller++) {
                GatewayHarness gateway = caller % 2 == 0 ? first : second;
                int number = caller;
                calls.add(callers.submit(() -> {
                    callUntil(gateway, cold, number);
                    return null;
                }));
            }
            while (cold.arrivals.size() < WARM_REQUESTS) {
                Thread.sleep(1);
            }
            long coldAt = now();
            cold.coldUntil = coldAt + COLD_MS;
            for (Future<?> call : calls) {
                call.get();
            }
            callers.shutdown();
            return cold.arrivalsBetween(coldAt + CONTACT_MS, coldAt + COLD_MS);
        }
    }

    @Test
    void theRateHoldsWhileReportsAreLost() throws Exception {
        long most = (long) (PER_SECOND * (COLD_MS - CONTACT_MS) / 1_000);
        assertThat(requestsWhileColdAgain(PER_SECOND)).isBetween(1L, most);
    }

    @Test
    void withoutARateTheTargetIsFlooded() throws Exception {
        assertThat(requestsWhileColdAgain(0)).isGreaterThan(10 * PER_SECOND);
    }
}
