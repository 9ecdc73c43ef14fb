import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;

/**
 * A request that crashes each engine that begins to run it comes again and again, while all machines that count are killed
 * once and are back within a second.
 */
final class DeadlyRequestCase {

    private static final int MACHINES = 3;

    private static final int ENGINES = 6;

    private static final long CONTACT_MS = 3_000;

    private static final long ENGINE_DOWN_MS = 3_000;

    private static final String DEADLY = "/stock/deadly-item";

    /** Times at which the deadly request has reached an engine. */
    private static final List<Long> ARRIVALS = new CopyOnWriteArrayList<>();

    private DeadlyRequestCase() {}

    private static final class CrashingEngine extends Engine {

        CrashingEngine(Lab lab, int number) {
            super(lab, number, "stock");
        }

        @Override
        boolean run(Arrival arrival, Socket socket) throws IOException {
            if (arrival.path.equals(DEADLY)) {
                ARRIVALS.add(lab.now());
                lab.note("engine " + number + ": " + instance() + " begins the deadly request " + arrival.id());
                crashFor(ENGINE_DOWN_MS);
                return false;
            }
            return super.run(arrival, socket);
        }
    }

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
        String configuration = "{\"version\":7,\"routes\":[{\"name\":\"r-stock\",\"host\":\"portal.example\","
                + "\"path_prefix\":\"/stock/\",\"kind\":\"idempotent\",\"timeout_ms\":2000,\"target_latency_ms\":200,"
                + "\"priority\":1,\"service\":\"stock\",\"max_attempts\":2,\"public\":false}],\"services\":[{\"name\":"
                + "\"stock\",\"health_path\":\"/healthz\",\"max_connections\":100,\"protocol\":\"h1\",\"tls\":false}],"
                + "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,"
                + "\"idle_timeout_ms\":15000},\"tenants\":[{\"name\":\"tenant-a\",\"api_keys\":[\"key-a\"],\"priority\":1}]}";
        Lab.Answer accepted = lab.operate("PUT", "/config", configuration, 20_000);
        if (accepted == null || accepted.status != 200 || !lab.awaitReady(15_000)) {
            return 2;
        }
        List<Engine> engines = new ArrayList<>();
        for (int number = 1; number <= ENGINES; number++) {
            Engine engine = new CrashingEngine(lab, number);
            engine.start();
            engines.add(engine);
        }
        Thread.sleep(4_000);
        if (send(lab, 1, "/stock/item-0") != 200) {
            return 2;
        }
        long begun = lab.now();
        long restartedAt = Long.MAX_VALUE;
        long nextDeadly = begun;
        int turn = 0;
        while (lab.now() < begun + 62_000) {
            boolean back = restartedAt == Long.MAX_VALUE || lab.now() > restartedAt + 2 * CONTACT_MS;
            if (lab.now() >= nextDeadly && back) {
                int machine = 1 + turn % MACHINES;
                turn++;
                Engine.daemon(() -> send(lab, machine, DEADLY));
                nextDeadly = lab.now() + 5_000;
            }
            if (restartedAt == Long.MAX_VALUE && lab.now() >= begun + 32_000) {
                if (lab.trouble) {
                    for (int machine = 1; machine <= MACHINES; machine++) {
                        lab.kill(machine);
                    }
                    Thread.sleep(500);
                    lab.startAll(false);
                }
                restartedAt = lab.now();
            }
            int item = turn;
            int machine = 1 + (int) (lab.now() / 250 % MACHINES);
            Engine.daemon(() -> send(lab, machine, "/stock/item-" + item));
            Thread.sleep(250);
        }
        if (ARRIVALS.size() < 3) {
            lab.note("the deadly request has crashed fewer than three engines");
            return 2;
        }
        long third = ARRIVALS.get(2);
        long restarted = restartedAt;
        List<Long> counted = ARRIVALS.stream()
                .filter(at -> at > third + CONTACT_MS)
                .filter(at -> at < restarted - 1_000 || at > restarted + 2 * CONTACT_MS)
                .toList();
        lab.note("third crash at " + third + " ms, restart at " + restarted + " ms, arrivals that count: " + counted);
        return counted.size() > 3 ? 1 : 0;
    }

    private static int send(Lab lab, int machine, String path) {
        String id = lab.nextId();
        int status = 0;
        try {
            status = Lab.call(
                            lab.ip(machine),
                            lab.front,
                            "GET",
                            path,
                            Map.of(
                                    "Host", "portal.example",
                                    Lab.PREFIX + "Request-Id", id,
                                    Lab.PREFIX + "Deadline-Ms", "1500",
                                    Lab.PREFIX + "Key", "key-a"),
                            new byte[0],
                            1_500)
                    .status;
        } catch (IOException failed) {
            // Status 0 stands for no answer.
        }
        if (path.equals(DEADLY) || status != 200) {
            lab.note("client: " + path + " " + id + " at machine " + machine + " -> " + (status == 0 ? "no answer" : status));
        }
        return status;
    }
}
