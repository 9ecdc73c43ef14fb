import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.Map;

/**
 * Case 11: a machine of the core is replaced as planned. Once its successor has had the time to catch up, another machine
 * loses its disk, which the deployment tolerates. With SECOND=replacement the other machine is replaced as planned instead.
 */
public final class ReplacedMachine {

    /** {@code catch_up_s} of the site. */
    private static final long CATCH_UP_MS = 4_000;

    /** Time for which a machine that loses its disk is dark: {@code for_s} of {@code after_ack_wipe} in the site file. */
    private static final long DARK_MS = 3_000;

    /** {@code recovery_s} of the site. */
    private static final long RECOVERY_MS = 12_000;

    /** Time within which the operator reads the configuration back, at least {@code contact_ms} of the site. */
    private static final long READ_BACK_MS = 6_000;

    private ReplacedMachine() {}

    public static void main(String[] arguments) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        // Seconds from the start of the successor to the SIGTERM of the machine that it replaces.
        String lead = System.getenv().getOrDefault("LEAD_S", "2");
        int status = 2;
        try (Record record = new Record(Path.of(arguments[0]));
                Deployment deployment = new Deployment(record)) {
            Runtime.getRuntime().addShutdownHook(new Thread(deployment::close));
            try {
                status = play(deployment, record, trouble, (long) (Double.parseDouble(lead) * 1_000));
            } catch (IllegalStateException cannotRun) {
                record.line("the case could not run: " + cannotRun.getMessage());
                System.out.println("the case could not run: " + cannotRun.getMessage());
            }
        }
        System.exit(status);
    }

    private static int play(Deployment deployment, Record record, boolean trouble, long leadMillis) throws Exception {
        for (int machine = 1; machine <= 3; machine++) {
            deployment.start("control", machine, "centro-" + (char) ('a' + machine - 1), true);
        }
        deployment.start("gateway", 1, "centro-a", false);
        deployment.start("gateway", 2, "centro-b", false);
        long giveUpAt = record.now() + 30_000;
        while (!put(deployment, record, 1, 1)) {
            require(record.now() < giveUpAt, "the first configuration was not accepted");
            Thread.sleep(200);
        }
        Thread.sleep(5_000);

        // Planned work: the successor starts at another address with an empty disk, then the first machine gets SIGTERM.
        long startedAt = record.now();
        deployment.start("control", 4, "centro-a", true, false);
        Thread.sleep(startedAt + leadMillis - record.now());
        deployment.signal("control-1", "TERM");
        if ("replacement".equals(System.getenv("SECOND"))) {
            deployment.start("control", 5, "centro-b", true, false);
        }
        long settledAt = Math.max(startedAt + CATCH_UP_MS, record.now());
        Thread.sleep(Math.max(0, settledAt + 20 - record.now()));
        require(!deployment.isAlive("control-1"), "the machine that was replaced still runs");
        record.line("the successor has run for " + (record.now() - startedAt) + " ms");

        // The machine that acknowledges the next change loses power right after that, and its disk.
        require(put(deployment, record, 2, 2), "the second configuration was not acknowledged at once");
        boolean planned = "replacement".equals(System.getenv("SECOND"));
        if (trouble && planned) {
            // Planned work only: the second machine is replaced as well, by one that started 2 s before.
            deployment.signal("control-2", "TERM");
        } else if (trouble) {
            deployment.signal("control-2", "KILL");
            deployment.wipe("control-2");
            Thread.sleep(DARK_MS);
            deployment.start("control", 2, "centro-b", true);
        }
        long backAt = record.now();
        Thread.sleep(RECOVERY_MS);
        long readFrom = record.now();
        while (record.now() < readFrom + READ_BACK_MS) {
            for (int machine : planned ? new int[] {3, 4, 5} : new int[] {2, 3, 4}) {
                if (readBack(deployment, record, machine)) {
                    record.line("the configuration was read back " + (record.now() - backAt)
                            + " ms after the machine was back");
                    System.out.println("the rule held");
                    return 0;
                }
            }
            Thread.sleep(500);
        }
        record.line("the configuration could not be read back for " + (record.now() - backAt) + " ms");
        System.out.println("CONFIG is broken: the acknowledged configuration doesn't come, "
                + (record.now() - backAt) / 1_000 + " s after all machines are back");
        return 1;
    }

    private static void require(boolean condition, String problem) {
        if (!condition) {
            throw new IllegalStateException(problem);
        }
    }

    private static boolean put(Deployment deployment, Record record, int version, int machine) {
        String body = "{\"version\":" + version + ",\"routes\":[{\"name\":\"r\",\"host\":\"h.example\",\"path_prefix\":\"/r/\","
                + "\"kind\":\"idempotent\",\"timeout_ms\":3000,\"target_latency_ms\":500,\"priority\":1,"
                + "\"service\":\"portal\",\"max_attempts\":2}],\"services\":[{\"name\":\"portal\","
                + "\"health_path\":\"/healthz\",\"max_connections\":200}],\"limits\":{\"max_header_bytes\":16384,"
                + "\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000},"
                + "\"tenants\":[{\"name\":\"t\",\"api_keys\":[\"k1\"],\"priority\":1}]}";
        String node = deployment.address(machine) + ":" + deployment.controlPort();
        int status = Deployment.call("PUT", node, "/config", body, 1_000);
        record.line("operator: PUT /config version " + version + " at " + node + ": status " + status);
        return status == 200;
    }

    private static boolean readBack(Deployment deployment, Record record, int machine) {
        String node = deployment.address(machine) + ":" + deployment.controlPort();
        try {
            PlainCall.Answer answer = PlainCall.send("GET", node, "/config", Map.of(), null, 1_000);
            String text = new String(answer.body(), StandardCharsets.UTF_8);
            record.line("operator: GET /config at " + node + ": status " + answer.status() + " "
                    + text.substring(0, Math.min(60, text.length())));
            return answer.status() == 200 && text.startsWith("{\"version\":2,");
        } catch (IOException failed) {
            record.line("operator: GET /config at " + node + ": no response");
            return false;
        }
    }
}
