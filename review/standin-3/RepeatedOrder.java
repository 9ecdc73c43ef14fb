import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Case 12: a copy of an order waits at a machine that is frozen, and takes effect after the order was acknowledged elsewhere
 * and after a later order was acknowledged.
 */
public final class RepeatedOrder {

    private static final String DRAINED = "dublin-a";

    private static final String OTHER = "dublin-b";

    /** Bound of the rule: {@code evacuate_ms} of the site. */
    private static final long EVACUATE_MS = 5_000;

    /** {@code contact_ms} of the site; requests are judged only this long after the thaw. */
    private static final long CONTACT_MS = 4_000;

    /** Length of the freeze: {@code for_s} of {@code node_freeze} in the site file. */
    private static final long FREEZE_MS = 3_500;

    /** Length of an evacuation: {@code for_s} of {@code evacuate} in the site file. */
    private static final long EVACUATION_MS = 8_000;

    /** Time after which the operator moves on to another node. */
    private static final long OPERATOR_TIMEOUT_MS = 1_000;

    private RepeatedOrder() {}

    /** A request that an engine has begun to run, or was sent. */
    private record Run(String zone, String request, long at) {}

    public static void main(String[] arguments) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        int status = 2;
        try (Record record = new Record(Path.of(arguments[0]));
                Deployment deployment = new Deployment(record)) {
            Thread hook = new Thread(deployment::close);
            Runtime.getRuntime().addShutdownHook(hook);
            try {
                status = play(deployment, record, trouble);
            } catch (IllegalStateException cannotRun) {
                record.line("the case could not run: " + cannotRun.getMessage());
                System.out.println("the case could not run: " + cannotRun.getMessage());
            }
        }
        System.exit(status);
    }

    private static int play(Deployment deployment, Record record, boolean trouble) throws Exception {
        for (int machine = 1; machine <= 3; machine++) {
            deployment.start("control", machine, "dublin-" + (char) ('a' + machine - 1), true);
        }
        // A fourth machine without a disk serves control too; it isn't of the core.
        deployment.start("control", 4, "dublin-c", false);
        deployment.start("gateway", 5, DRAINED, false);
        deployment.start("gateway", 6, OTHER, false);
        List<String> controls = new ArrayList<>();
        for (int machine = 1; machine <= 4; machine++) {
            controls.add(deployment.address(machine) + ":" + deployment.controlPort());
        }
        Queue<Run> runs = new ConcurrentLinkedQueue<>();
        for (int number = 0; number < 4; number++) {
            String zone = number < 2 ? DRAINED : OTHER;
            new PlainServer(
                    "i-" + number,
                    "register",
                    zone,
                    deployment.address(50 + number),
                    controls,
                    request -> runs.add(new Run(zone, request, record.now())));
        }
        String configuration = "{\"version\":1,\"routes\":[{\"name\":\"r\",\"host\":\"reg.example\",\"path_prefix\":\"/r/\","
                + "\"kind\":\"idempotent\",\"timeout_ms\":3000,\"target_latency_ms\":500,\"priority\":1,"
                + "\"service\":\"register\",\"max_attempts\":2}],\"services\":[{\"name\":\"register\","
                + "\"health_path\":\"/healthz\",\"max_connections\":200}],\"limits\":{\"max_header_bytes\":16384,"
                + "\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000},"
                + "\"tenants\":[{\"name\":\"t\",\"api_keys\":[\"k1\"],\"priority\":1}]}";
        long giveUpAt = record.now() + 30_000;
        while (Deployment.call("PUT", controls.get(0), "/config", configuration, 1_000) != 200) {
            require(record.now() < giveUpAt, "the configuration was not accepted");
            Thread.sleep(200);
        }
        record.line("operator: configuration 1 is acknowledged");
        AtomicInteger served = new AtomicInteger();
        for (int gateway = 5; gateway <= 6; gateway++) {
            String address = deployment.address(gateway) + ":" + deployment.frontPort();
            for (int client = 0; client < 2; client++) {
                String name = gateway + "-" + client + "-";
                PlainServer.daemon(() -> send(address, name, served));
            }
        }
        while (runs.stream().noneMatch(run -> run.zone().equals(DRAINED))
                || runs.stream().noneMatch(run -> run.zone().equals(OTHER))) {
            require(record.now() < giveUpAt, "the engines of a zone get no requests");
            Thread.sleep(100);
        }

        long first = order(record, "POST", controls, 0);
        Thread.sleep(5_500);
        long before = runs.stream()
                .filter(run -> run.zone().equals(DRAINED) && run.at() > first + EVACUATE_MS)
                .count();
        require(before == 0, "the first evacuation has no effect");
        long frozenAt = record.now();
        if (trouble) {
            deployment.signal("control-4", "STOP");
        }
        // The operator picks the fourth node; after a second without a response it sends the order to another one.
        order(record, "DELETE", controls, 3);
        Thread.sleep(300);
        long second = order(record, "POST", controls, 0);
        require(second - frozenAt < FREEZE_MS, "the operator was too slow");
        Thread.sleep(Math.max(0, frozenAt + FREEZE_MS - record.now()));
        if (trouble) {
            deployment.signal("control-4", "CONT");
        }
        long judgedFrom = Math.max(second + EVACUATE_MS, frozenAt + FREEZE_MS + CONTACT_MS);
        Thread.sleep(second + EVACUATION_MS - record.now());
        List<Run> late = runs.stream()
                .filter(run -> run.zone().equals(DRAINED) && run.at() > judgedFrom && run.at() < second + EVACUATION_MS)
                .toList();
        record.line("requests answered with success: " + served.get());
        record.line("the second evacuation was acknowledged at " + second + " ms and not taken back; requests that engines"
                + " of the zone ran from " + judgedFrom + " to " + (second + EVACUATION_MS) + " ms: " + late.size());
        late.forEach(run -> record.line("  " + run.request() + " ran in " + run.zone() + " at " + run.at() + " ms"));
        require(served.get() > 100, "too few requests were served");
        System.out.println(late.isEmpty()
                ? "the rule held"
                : "EVAC is broken: " + late.size() + " requests ran in an evacuated zone");
        return late.isEmpty() ? 0 : 1;
    }

    private static void require(boolean condition, String problem) {
        if (!condition) {
            throw new IllegalStateException(problem);
        }
    }

    /** Sends an order to one node after the other, each of which has a second, until it is acknowledged. */
    private static long order(Record record, String method, List<String> controls, int firstNode) throws Exception {
        for (int attempt = 0; attempt < 8; attempt++) {
            String node = controls.get((firstNode + attempt) % controls.size());
            int status = Deployment.call(method, node, "/evacuations/" + DRAINED, null, OPERATOR_TIMEOUT_MS);
            record.line("operator: " + method + " /evacuations/" + DRAINED + " at " + node + ": "
                    + (status == 0 ? "no response within a second, connection closed" : "status " + status));
            if (status == 200) {
                return record.now();
            }
        }
        throw new IllegalStateException(method + " was not acknowledged");
    }

    private static void send(String address, String name, AtomicInteger served) {
        for (int number = 0; ; number++) {
            try {
                Map<String, String> headers = Map.of(
                        "Host", "reg.example",
                        "X-Bamboohatch-Request-Id", "c" + name + number,
                        "X-Bamboohatch-Deadline-Ms", "3000",
                        "X-Bamboohatch-Key", "k1");
                if (PlainCall.send("GET", address, "/r/x", headers, null, 3_500).status() == 200) {
                    served.incrementAndGet();
                }
            } catch (IOException failed) {
                // Not judged here.
            }
            try {
                Thread.sleep(50);
            } catch (InterruptedException interrupted) {
                return;
            }
        }
    }
}
