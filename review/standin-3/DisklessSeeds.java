import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;

/**
 * Case 13: a system starts for the first time, and the three machines that its settings name as seeds serve control but have no
 * disk.
 */
public final class DisklessSeeds {

    /** Time from the start of the machines to that of traffic: {@code lead_s} of the site file. */
    private static final long LEAD_MS = 15_000;

    /** Length of traffic: {@code length_s} of the site file. */
    private static final long TRAFFIC_MS = 34_000;

    private DisklessSeeds() {}

    public static void main(String[] arguments) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        int status = 2;
        try (Record record = new Record(Path.of(arguments[0]));
                Deployment deployment = new Deployment(record)) {
            Runtime.getRuntime().addShutdownHook(new Thread(deployment::close));
            status = play(deployment, record, trouble);
        }
        System.exit(status);
    }

    private static int play(Deployment deployment, Record record, boolean trouble) throws Exception {
        if (trouble) {
            deployment.seeds(4, 5, 6);
        }
        record.line("seeds: " + (trouble ? "machines 4, 5 and 6, which have no disk" : "machines 1, 2 and 3"));
        List<String> controls = new ArrayList<>();
        for (int machine = 1; machine <= 6; machine++) {
            // Two machines of each zone serve control; the first one has a disk.
            deployment.start("control", machine, "centro-" + (char) ('a' + (machine - 1) % 3), machine <= 3);
            controls.add(deployment.address(machine) + ":" + deployment.controlPort());
        }
        deployment.start("gateway", 1, "centro-a", false);
        deployment.start("gateway", 5, "centro-b", false);
        long startedAt = record.now();
        Queue<String> runs = new ConcurrentLinkedQueue<>();
        for (int number = 0; number < 3; number++) {
            new PlainServer(
                    "i-" + number,
                    "portal",
                    "centro-" + (char) ('a' + number),
                    deployment.address(50 + number),
                    controls,
                    runs::add);
        }
        String configuration = "{\"version\":1,\"routes\":[{\"name\":\"r\",\"host\":\"h.example\",\"path_prefix\":\"/r/\","
                + "\"kind\":\"idempotent\",\"timeout_ms\":3000,\"target_latency_ms\":500,\"priority\":1,"
                + "\"service\":\"portal\",\"max_attempts\":2}],\"services\":[{\"name\":\"portal\","
                + "\"health_path\":\"/healthz\",\"max_connections\":200}],\"limits\":{\"max_header_bytes\":16384,"
                + "\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000},"
                + "\"tenants\":[{\"name\":\"t\",\"api_keys\":[\"k1\"],\"priority\":1}]}";
        boolean acknowledged = false;
        int sent = 0;
        int served = 0;
        int attempt = 0;
        while (record.now() < startedAt + LEAD_MS + TRAFFIC_MS) {
            if (!acknowledged) {
                // Resent until it is accepted, to one node after the other.
                String node = controls.get(attempt++ % controls.size());
                int status = Deployment.call("PUT", node, "/config", configuration, 1_000);
                record.line("operator: PUT /config version 1 at " + node + ": status " + status);
                acknowledged = status == 200;
            }
            if (record.now() > startedAt + LEAD_MS) {
                sent++;
                String gateway = deployment.address(sent % 2 == 0 ? 1 : 5) + ":" + deployment.frontPort();
                int status = request(gateway, sent);
                served += status == 200 ? 1 : 0;
                record.line("client: request c" + sent + " at " + gateway + ": status " + status);
            }
            Thread.sleep(200);
        }
        record.line("configuration acknowledged: " + acknowledged + "; requests sent: " + sent + ", run: " + runs.size()
                + ", served: " + served);
        if (sent == 0) {
            return 2;
        }
        System.out.println(served == 0
                ? "Fault: no request of " + sent + " is served, the first configuration is "
                        + (acknowledged ? "" : "not ") + "acknowledged after " + (LEAD_MS + TRAFFIC_MS) / 1_000 + " s"
                : "the rule held: " + served + " of " + sent + " requests served");
        return served == 0 ? 1 : 0;
    }

    private static int request(String gateway, int number) {
        try {
            Map<String, String> headers = Map.of(
                    "Host", "h.example",
                    "X-Bamboohatch-Request-Id", "c" + number,
                    "X-Bamboohatch-Deadline-Ms", "3000",
                    "X-Bamboohatch-Key", "k1");
            return PlainCall.send("GET", gateway, "/r/x", headers, null, 3_500).status();
        } catch (IOException failed) {
            return 0;
        }
    }
}
