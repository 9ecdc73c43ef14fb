import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;

/**
 * Stand-in for the platform: starts the programs of the deploy file as separate processes on loopback addresses, one
 * address for each machine, with settings from the template of the deploy file. Must run at the root of the repository.
 */
final class Deployment implements AutoCloseable {

    /** Fields of the settings that are the same on all machines, as in the example of the platform's page. */
    private static final Map<String, String> BOUNDS = Map.of(
            "tolerate.machines", "1",
            "bounds.revoke_ms", "5000",
            "bounds.retry_budget_ratio", "0.2",
            "bounds.retry_budget_slack", "106",
            "bounds.retry_window_s", "10",
            "bounds.free_ms", "4000",
            "bounds.grace_s", "8");

    private final Path folder;

    private final String prefix;

    /** Ports of callers, readiness and operators, and the first internal port; the same on all machines. */
    private final int front;

    private final int readiness;

    private final int control;

    private final int internal;

    private final List<String> seeds = new ArrayList<>();

    private final Map<String, Process> processes = new LinkedHashMap<>();

    private final Map<String, Boolean> startedBefore = new LinkedHashMap<>();

    private final Record record;

    Deployment(Record record) throws IOException {
        this.record = record;
        this.folder = Files.createTempDirectory("review-3-");
        this.prefix = "127." + ThreadLocalRandom.current().nextInt(20, 120) + "."
                + ThreadLocalRandom.current().nextInt(1, 250) + ".";
        int base = freePorts();
        this.front = base;
        this.readiness = base + 1;
        this.control = base + 2;
        this.internal = base + 3;
        for (int machine = 1; machine <= 3; machine++) {
            seeds.add(address(machine) + ":" + control);
        }
    }

    private int freePorts() throws IOException {
        for (int attempt = 0; attempt < 100; attempt++) {
            int base = ThreadLocalRandom.current().nextInt(12_000, 30_000);
            if (isFree(base) && isFree(base + 1) && isFree(base + 2) && isFree(base + 3) && isFree(base + 4)) {
                return base;
            }
        }
        throw new IOException("no free ports");
    }

    private boolean isFree(int port) {
        try (ServerSocket probe = new ServerSocket()) {
            probe.bind(new InetSocketAddress(prefix + "1", port));
            return true;
        } catch (IOException taken) {
            return false;
        }
    }

    /** Replaces the machines whose addresses the settings name as seeds. */
    void seeds(int first, int second, int third) {
        seeds.clear();
        for (int machine : new int[] {first, second, third}) {
            seeds.add(address(machine) + ":" + control);
        }
    }

    /** Returns the address of a machine, also of one on which a stand-in runs. */
    String address(int machine) {
        return prefix + machine;
    }

    int frontPort() {
        return front;
    }

    int controlPort() {
        return control;
    }

    /**
     * Starts a program of the deploy file.
     *
     * @param role the role in the deploy file, control or gateway
     * @param machine number of the machine
     * @param zone zone of the machine
     * @param disk whether the machine has a disk
     */
    void start(String role, int machine, String zone, boolean disk) throws IOException {
        start(role, machine, zone, disk, true);
    }

    /**
     * Starts a program of the deploy file.
     *
     * @param first whether the whole system may be starting for the first time, unless the program ran before
     */
    void start(String role, int machine, String zone, boolean disk, boolean first) throws IOException {
        String name = role + "-" + machine;
        Map<String, String> fields = new LinkedHashMap<>(BOUNDS);
        fields.put("node", "machine-" + machine);
        fields.put("zone", zone);
        fields.put("ip", address(machine));
        fields.put("listen.front", role.equals("gateway") ? address(machine) + ":" + front : "");
        fields.put("listen.readiness_address", role.equals("gateway") ? address(machine) + ":" + readiness : "");
        fields.put("listen.control", role.equals("control") ? address(machine) + ":" + control : "");
        fields.put("internal_ports", internal + "," + (internal + 15));
        fields.put("bootstrap", String.valueOf(startedBefore.put(name, true) == null && first));
        fields.put("data_dir", disk ? Files.createDirectories(folder.resolve("data-" + name)).toString() : "");
        String deploy = Files.readString(Path.of("deploy/system.toml"));
        String section = deploy.substring(deploy.indexOf("[roles." + role + "]"));
        Path settings = folder.resolve(name + ".yaml");
        Files.writeString(settings, render(Files.readString(Path.of(value(section, "template"))), fields));
        List<String> command = new ArrayList<>(List.of(value(section, "run").split(" ")));
        command.replaceAll(word -> word.equals("/etc/bamboohatch/boot.conf") ? settings.toString() : word);
        ProcessBuilder builder = new ProcessBuilder(command).redirectErrorStream(true);
        builder.environment().keySet().retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
        builder.redirectOutput(ProcessBuilder.Redirect.appendTo(folder.resolve(name + ".log").toFile()));
        processes.put(name, builder.start());
        record.line("platform starts " + name + " in " + zone + (disk ? " with a disk" : ""));
    }

    private static String value(String section, String key) {
        Matcher matcher = Pattern.compile("(?m)^" + key + " = \"(.*)\"$").matcher(section);
        if (!matcher.find()) {
            throw new IllegalStateException("the deploy file has no " + key);
        }
        return matcher.group(1);
    }

    private String render(String template, Map<String, String> fields) {
        StringBuilder list = new StringBuilder();
        seeds.forEach(seed -> list.append(list.length() == 0 ? "" : ",").append('"').append(seed).append('"'));
        String text = template.replaceAll(
                "\\{\\{#seeds}}.*\\{\\{/seeds}}", Matcher.quoteReplacement(list.toString()));
        text = text.replaceAll("\\{\\{\\^[^}]*}}.*?\\{\\{/[^}]*}}", "");
        Matcher matcher = Pattern.compile("\\{\\{([^}]*)}}").matcher(text);
        return matcher.replaceAll(found -> Matcher.quoteReplacement(fields.getOrDefault(found.group(1), "")));
    }

    /** Sends a signal (STOP, CONT, KILL, TERM) to a process that this deployment has started. */
    void signal(String name, String signal) throws IOException, InterruptedException {
        record.line("platform: " + signal + " " + name);
        new ProcessBuilder("bash", "-c", "kill -" + signal + " " + processes.get(name).pid()).start().waitFor();
        if (signal.equals("KILL")) {
            processes.get(name).waitFor();
        }
    }

    /** Empties the disk of a program that has ended. */
    void wipe(String name) throws IOException {
        record.line("the disk of " + name + " is lost");
        remove(folder.resolve("data-" + name));
    }

    private static void remove(Path root) throws IOException {
        try (Stream<Path> files = Files.walk(root)) {
            for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
                Files.deleteIfExists(file);
            }
        }
    }

    boolean isAlive(String name) {
        return processes.get(name).isAlive();
    }

    /** A connection is opened for each call and closed at its end, also when the caller gives up. */
    static int call(String method, String address, String path, String body, long timeoutMillis) {
        try {
            return PlainCall.send(method, address, path, Map.of("Content-Type", "application/json"), body, timeoutMillis)
                    .status();
        } catch (IOException failed) {
            return 0;
        }
    }

    /** Ends all processes and removes the folder. */
    @Override
    public void close() {
        for (Process process : processes.values()) {
            process.destroyForcibly();
        }
        for (Process process : processes.values()) {
            try {
                process.waitFor(5, TimeUnit.SECONDS);
            } catch (InterruptedException interrupted) {
                Thread.currentThread().interrupt();
            }
        }
        try {
            remove(folder);
        } catch (IOException ignored) {
            record.line("the temporary folder could not be removed");
        }
    }
}
