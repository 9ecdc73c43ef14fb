package bamboohatch.review;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/**
 * A small deployment: three machines in three zones, each with a loopback address of its own, a disk, a control and a
 * gateway. Programs are started with the commands of the deploy file; the settings are rendered from its template, with the
 * bounds of the site that the claims name.
 */
final class Deployment implements AutoCloseable {

    static final int MACHINES = 3;

    /** Machines that may take the place of others during a case. */
    private static final int SPARES = 6;

    static final int FRONT = 8227;

    static final int READINESS = 8220;

    static final int CONTROL = 8229;

    private static final int INTERNAL = 7340;

    private static final int ENGINES = 8080;

    private final Path folder;

    private final String network;

    private final Map<String, Process> processes = new TreeMap<>();

    /** The machines that serve control, as the list of the operator, which engines use too, names them. */
    private volatile List<Integer> controls = List.of(1, 2, 3);

    /** Thrown if the case cannot run at all. */
    static final class Unusable extends RuntimeException {

        private static final long serialVersionUID = 1;

        Unusable(String message) {
            super(message);
        }
    }

    Deployment() throws IOException {
        folder = Files.createTempDirectory("bamboohatch-review");
        network = freeNetwork();
        Runtime.getRuntime().addShutdownHook(new Thread(this::close));
    }

    private static String freeNetwork() {
        Random random = new Random();
        for (int attempt = 0; attempt < 50; attempt++) {
            String candidate = "127." + (16 + random.nextInt(200)) + "." + (1 + random.nextInt(250)) + ".";
            boolean free = true;
            for (int machine = 1; machine <= MACHINES + SPARES && free; machine++) {
                for (int port : new int[] {FRONT, READINESS, CONTROL, INTERNAL, INTERNAL + 1}) {
                    try (ServerSocket probe = new ServerSocket(port, 1, InetAddress.getByName(candidate + machine))) {
                        free &= probe.isBound();
                    } catch (IOException taken) {
                        free = false;
                    }
                }
            }
            if (free) {
                return candidate;
            }
        }
        throw new Unusable("no free loopback addresses");
    }

    String ip(int machine) {
        return network + machine;
    }

    String engineAddress(int engine) {
        return network + (100 + engine) + ":" + ENGINES;
    }

    String front(int machine) {
        return ip(machine) + ":" + FRONT;
    }

    String control(int machine) {
        return ip(machine) + ":" + CONTROL;
    }

    List<Integer> controls() {
        return controls;
    }

    void setControls(List<Integer> machines) {
        controls = List.copyOf(machines);
    }

    static String zone(int machine) {
        // Machine 4 replaces machine 1 in its zone, machine 7 replaces machine 4, and so on.
        return "centro-" + (char) ('a' + (machine - 1) % MACHINES);
    }

    void start() throws IOException {
        for (int machine = 1; machine <= MACHINES; machine++) {
            start("control", machine, true);
            start("gateway", machine, true);
        }
        long giveUpAt = System.currentTimeMillis() + 20_000;
        for (int machine = 1; machine <= MACHINES; machine++) {
            while (Http.json(control(machine), "GET", "/config", "", 1_000).status() == 0) {
                pause(50);
                if (System.currentTimeMillis() > giveUpAt) {
                    throw new Unusable("control " + machine + " does not answer");
                }
            }
        }
    }

    void start(String role, int machine, boolean bootstrap) throws IOException {
        String name = role + "-" + machine;
        Path settings = folder.resolve(name + ".yaml");
        Files.writeString(settings, render(role, machine, bootstrap));
        List<String> words = new ArrayList<>(List.of(command(role).split(" ")));
        words.replaceAll(word -> word.equals("/etc/bamboohatch/boot.conf") ? settings.toString() : word);
        ProcessBuilder builder = new ProcessBuilder(words);
        builder.environment().keySet().retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
        builder.environment().put("BAMBOOHATCH_BOOT", settings.toString());
        builder.redirectErrorStream(true);
        builder.redirectOutput(
                ProcessBuilder.Redirect.appendTo(folder.resolve(name + ".log").toFile()));
        processes.put(name, builder.start());
    }

    private static String command(String role) throws IOException {
        String deploy = Files.readString(Path.of("deploy/system.toml"));
        Matcher run = Pattern.compile("\\[roles\\." + role + "]\\s+run = \"([^\"]*)\"").matcher(deploy);
        if (!run.find()) {
            throw new Unusable("the deploy file has no role " + role);
        }
        return run.group(1);
    }

    private String render(String role, int machine, boolean bootstrap) throws IOException {
        String seeds = controls.stream().map(seed -> '"' + control(seed) + '"').collect(Collectors.joining(","));
        Map<String, String> values = Map.ofEntries(
                Map.entry("node", "front-" + zone(machine) + "-" + (1 + (machine - 1) / MACHINES)),
                Map.entry("zone", zone(machine)),
                Map.entry("ip", ip(machine)),
                Map.entry("listen.front", role.equals("gateway") ? front(machine) : ""),
                Map.entry("listen.readiness_address", role.equals("gateway") ? ip(machine) + ":" + READINESS : ""),
                Map.entry("listen.control", role.equals("control") ? control(machine) : ""),
                Map.entry("internal_ports", INTERNAL + "," + (INTERNAL + 15)),
                Map.entry("bootstrap", String.valueOf(bootstrap)),
                Map.entry("data_dir", role.equals("control") ? folder.resolve("data-" + machine).toString() : ""),
                Map.entry("tolerate.machines", "1"),
                Map.entry("bounds.revoke_ms", "5000"),
                Map.entry("bounds.retry_budget_ratio", "0.2"),
                Map.entry("bounds.retry_budget_slack", "106"),
                Map.entry("bounds.retry_window_s", "10"),
                Map.entry("bounds.free_ms", "4000"),
                Map.entry("bounds.grace_s", "8"));
        String text = Files.readString(Path.of("deploy/process.yaml.template"));
        text = text.replaceAll("(?s)\\{\\{\\^[^}]*}}.*?\\{\\{/[^}]*}}", "");
        text = text.replaceAll("(?s)\\{\\{#seeds}}.*?\\{\\{/seeds}}", Matcher.quoteReplacement(seeds));
        Matcher placeholder = Pattern.compile("\\{\\{([a-z_.]+)}}").matcher(text);
        return placeholder.replaceAll(found -> {
            String value = values.get(found.group(1));
            if (value == null) {
                throw new Unusable("the template has an unknown placeholder " + found.group(1));
            }
            return Matcher.quoteReplacement(value);
        });
    }

    /** Sends a configuration until it is acknowledged, as the operator does. */
    void configure(String configuration, Record record) {
        long giveUpAt = System.currentTimeMillis() + 20_000;
        for (int attempt = 0; System.currentTimeMillis() < giveUpAt; attempt++) {
            int machine = controls.get(attempt % controls.size());
            Http.Answer answer = Http.json(control(machine), "PUT", "/config", configuration, 1_000);
            record.line("operator: PUT /config to machine %d -> %d %s", machine, answer.status(), answer.body());
            if (answer.status() == 200) {
                return;
            }
            pause(200);
        }
        throw new Unusable("no configuration was acknowledged");
    }

    /** Waits until every gateway says that it is ready. */
    void awaitReady() {
        long giveUpAt = System.currentTimeMillis() + 20_000;
        for (int machine = 1; machine <= MACHINES; machine++) {
            while (Http.json(ip(machine) + ":" + READINESS, "GET", "/readyz", "", 1_000).status() != 200) {
                pause(100);
                if (System.currentTimeMillis() > giveUpAt) {
                    throw new Unusable("gateway " + machine + " is not ready");
                }
            }
        }
    }

    /** Returns the machine whose control answers heartbeats as the leader, by the address that it hands out. */
    int leader(String heartbeatAddress) {
        for (int machine = 1; machine <= MACHINES + SPARES; machine++) {
            if (heartbeatAddress.equals(control(machine))) {
                return machine;
            }
        }
        throw new Unusable("no machine has the address " + heartbeatAddress);
    }

    void signal(String signal, String role, int machine) throws IOException {
        Process process = processes.get(role + "-" + machine);
        try {
            new ProcessBuilder("kill", "-" + signal, String.valueOf(process.pid())).start().waitFor();
            if (signal.equals("KILL")) {
                process.waitFor(5, TimeUnit.SECONDS);
            }
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
    }

    boolean runs(String role, int machine) {
        return processes.get(role + "-" + machine).isAlive();
    }

    static void pause(long millis) {
        try {
            TimeUnit.MILLISECONDS.sleep(millis);
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
    }

    @Override
    public synchronized void close() {
        processes.values().forEach(Process::destroyForcibly);
        processes.values().forEach(process -> {
            try {
                process.waitFor(5, TimeUnit.SECONDS);
            } catch (InterruptedException interrupted) {
                Thread.currentThread().interrupt();
            }
        });
        String kept = System.getenv("KEEP_LOGS");
        if (kept != null || !Files.exists(folder)) {
            return;
        }
        try (Stream<Path> files = Files.walk(folder)) {
            files.sorted(Comparator.reverseOrder()).forEach(file -> file.toFile().delete());
        } catch (IOException ignored) {
            // A temporary folder that stays does no harm.
        }
    }
}
