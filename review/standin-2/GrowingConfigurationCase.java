import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/**
 * The configuration grows by 370 routes 32 times, then configurations come in quick succession eight times. At the end the
 * operator reads the configuration back.
 */
final class GrowingConfigurationCase {

    private static final int MACHINES = 3;

    private static final int GROWTHS = 32;

    private static final int ROUTES_PER_GROWTH = 370;

    private static final long GROWTH_GAP_MS = 300;

    private static final int STORMS = 8;

    private static final long STORM_MS = 2_000;

    private static final long STORM_GAP_MS = 80;

    /** Time from the end of one storm to the next, in milliseconds. */
    private static final long STORM_PAUSE_MS = 1_500;

    /** Orders of the operator that may be in progress at once. */
    private static final int ORDERS_AT_ONCE = 8;

    private static final long CONTACT_MS = 3_000;

    private static final AtomicLong NEWEST_ACKNOWLEDGED = new AtomicLong();

    private static final AtomicInteger REFUSED = new AtomicInteger();

    private GrowingConfigurationCase() {}

    public static void main(String[] arguments) throws Exception {
        int exit = 2;
        try (Lab lab = new Lab(MACHINES, Path.of(arguments[0]))) {
            exit = play(lab);
            lab.note("exit " + exit);
        } finally {
            System.exit(exit);
        }
    }

    private static int play(Lab lab) throws Exception {
        lab.startAll(true);
        if (!change(lab, 1, 0, 20_000) || !lab.awaitReady(15_000)) {
            return 2;
        }
        for (int number = 1; number <= 3; number++) {
            new Engine(lab, number, "stock").start();
        }
        Thread.sleep(5_000);
        if (request(lab) != 200) {
            return 2;
        }
        ExecutorService orders = Executors.newFixedThreadPool(ORDERS_AT_ONCE);
        for (int growth = 1; lab.trouble && growth <= GROWTHS; growth++) {
            int version = 1 + 3 * growth;
            int routes = ROUTES_PER_GROWTH * growth;
            orders.submit(() -> change(lab, version, routes, 10_000));
            Thread.sleep(GROWTH_GAP_MS);
        }
        AtomicInteger version = new AtomicInteger(1 + 3 * GROWTHS);
        for (int storm = 0; lab.trouble && storm < STORMS; storm++) {
            Thread.sleep(STORM_PAUSE_MS);
            lab.note("operator: configurations in quick succession begin");
            long end = lab.now() + STORM_MS;
            while (lab.now() < end) {
                int next = version.addAndGet(2);
                orders.submit(() -> change(lab, next, ROUTES_PER_GROWTH * GROWTHS, 10_000));
                Thread.sleep(STORM_GAP_MS);
            }
        }
        orders.shutdown();
        boolean over = orders.awaitTermination(20, TimeUnit.SECONDS);
        lab.note("operator: " + (over ? "all orders have ended" : "orders are given up"));
        orders.shutdownNow();
        Thread.sleep(3 * CONTACT_MS);
        lab.note("client: a request is answered " + request(lab));
        return readBack(lab);
    }

    /** Reads the configuration from all machines in turn for more than the time of contact. */
    private static int readBack(Lab lab) throws InterruptedException {
        long acknowledged = NEWEST_ACKNOWLEDGED.get();
        long end = lab.now() + 2 * CONTACT_MS;
        List<String> answers = new ArrayList<>();
        long read = -1;
        for (int turn = 0; lab.now() < end && read < acknowledged; turn++) {
            int machine = 1 + turn % MACHINES;
            String answer;
            try {
                Lab.Answer got =
                        Lab.call(lab.ip(machine), lab.control, "GET", "/config", Map.of(), new byte[0], 2_000);
                answer = Integer.toString(got.status);
                if (got.status == 200) {
                    read = Long.parseLong(got.text().replaceAll("(?s)^\\{\"version\":(\\d+),.*", "$1"));
                    answer += " with version " + read;
                }
            } catch (IOException failed) {
                answer = "no answer";
            }
            answers.add("machine " + machine + ": " + answer);
            Thread.sleep(100);
        }
        lab.note("operator: newest acknowledged version " + acknowledged + ", read back " + answers);
        for (int machine = 1; machine <= MACHINES; machine++) {
            lab.note("platform: machine " + machine + ": process of control runs: "
                    + lab.process(machine, "control").isAlive() + ", gateway counts as ready: " + lab.isReady(machine));
        }
        lab.note("operator: " + REFUSED.get() + " changes were refused");
        return read < acknowledged ? 1 : 0;
    }

    private static boolean change(Lab lab, int version, int routes, long millis) throws InterruptedException {
        long begun = lab.now();
        String text = configuration(version, routes);
        Lab.Answer answer = lab.operate("PUT", "/config", text, millis);
        lab.note("operator: version " + version + " with " + (routes + 1) + " routes, " + text.length() + " bytes -> "
                + (answer == null ? "no clear answer" : answer.status) + " after " + (lab.now() - begun) + " ms");
        if (answer != null && answer.status == 200) {
            NEWEST_ACKNOWLEDGED.accumulateAndGet(version, Math::max);
        } else if (answer != null) {
            REFUSED.incrementAndGet();
        }
        return answer != null && answer.status == 200;
    }

    private static String configuration(int version, int routes) {
        StringBuilder text = new StringBuilder("{\"version\":" + version + ",\"routes\":[{\"name\":\"r-stock\",\"host\":"
                + "\"portal.example\",\"path_prefix\":\"/stock/\",\"kind\":\"idempotent\",\"timeout_ms\":800,"
                + "\"target_latency_ms\":200,\"priority\":1,\"service\":\"stock\",\"max_attempts\":2,\"public\":false}");
        for (int route = 0; route < routes; route++) {
            Random names = new Random(route);
            text.append(",{\"name\":\"r-").append(name(names)).append(route);
            text.append("\",\"host\":\"ficu95.example\",\"path_prefix\":\"/").append(name(names)).append(route);
            text.append("/\",\"kind\":\"streaming\",\"timeout_ms\":10000,\"target_latency_ms\":300,\"priority\":1,");
            text.append("\"traffic_split\":[{\"service\":\"stock\",\"weight\":90},{\"service\":\"other\",\"weight\":10}],");
            text.append("\"max_attempts\":2,\"public\":false,\"session_affinity\":true,\"stream_resume\":true,");
            text.append("\"target_gap_ms\":250}");
        }
        String service = ",\"health_path\":\"/healthz\",\"max_connections\":100,\"protocol\":\"h1\",\"tls\":false}";
        return text + "],\"services\":[{\"name\":\"stock\"" + service + ",{\"name\":\"other\"" + service
                + "],\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,"
                + "\"idle_timeout_ms\":15000},\"tenants\":[{\"name\":\"tenant-a\",\"api_keys\":[\"key-a\"],\"priority\":1}]}";
    }

    private static String name(Random random) {
        return Long.toString(Math.abs(random.nextLong() >> 1), 36).substring(0, 7);
    }

    private static int request(Lab lab) throws InterruptedException {
        int status = 0;
        for (int turn = 0; turn < 6 && status != 200; turn++) {
            try {
                status = Lab.call(
                                lab.ip(1 + turn % MACHINES),
                                lab.front,
                                "GET",
                                "/stock/item",
                                Map.of(
                                        "Host", "portal.example",
                                        Lab.PREFIX + "Request-Id", lab.nextId(),
                                        Lab.PREFIX + "Deadline-Ms", "1500",
                                        Lab.PREFIX + "Key", "key-a"),
                                new byte[0],
                                1_500)
                        .status;
            } catch (IOException failed) {
                status = 0;
            }
            Thread.sleep(200);
        }
        return status;
    }
}
