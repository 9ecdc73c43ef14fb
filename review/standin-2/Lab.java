import java.io.BufferedWriter;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;

/**
 * Stand-in of the platform: starts the programs of the deploy file on loopback addresses, one address for each machine,
 * and calls them as the operator, as engines and as clients do. It ends all processes that it has started.
 */
final class Lab implements AutoCloseable {

    static final String PREFIX = "X-Bamboohatch-";

    private static final Pattern RUN = Pattern.compile("\\[roles\\.(\\w+)][^\\[]*?run = \"([^\"]*)\"", Pattern.DOTALL);

    private static final Pattern SECTION =
            Pattern.compile("\\{\\{([#^])([\\w.]+)}}(.*?)\\{\\{/\\2}}", Pattern.DOTALL);

    private static final Pattern FIELD = Pattern.compile("\\{\\{([\\w.]+)}}");

    private final long startedAt = System.nanoTime();

    private final Path root = Path.of("").toAbsolutePath();

    private final Path folder;

    private final BufferedWriter record;

    private final Map<String, String> commands = new TreeMap<>();

    private final Map<String, Process> processes = new ConcurrentHashMap<>();

    private final AtomicLong requests = new AtomicLong();

    /** Number of orders of the operator so far; each begins at another machine. */
    private final AtomicInteger orders = new AtomicInteger();

    /** Second octet of the loopback addresses, so that several cases can run side by side. */
    private final int network = 64 + (int) (ProcessHandle.current().pid() % 128);

    final int machines;

    final int front;

    final int readiness;

    final int control;

    final int internal;

    /** Whether the case brings about its disruption. */
    final boolean trouble = !"0".equals(System.getenv("TROUBLE"));

    Lab(int machines, Path recordFile) throws IOException {
        this.machines = machines;
        this.folder = Files.createTempDirectory("review-");
        this.record = Files.newBufferedWriter(recordFile);
        Matcher roles = RUN.matcher(Files.readString(root.resolve("deploy/system.toml")));
        while (roles.find()) {
            commands.put(roles.group(1), roles.group(2));
        }
        int[] ports = freePorts(5);
        this.front = ports[0];
        this.readiness = ports[1];
        this.control = ports[2];
        this.internal = ports[3];
    }

    /** Returns free ports; the fourth is followed by another free one. */
    private int[] freePorts(int count) throws IOException {
        List<Integer> ports = new ArrayList<>();
        int next = 20_000 + (int) (System.nanoTime() / 1000 % 9_000);
        while (ports.size() < count) {
            boolean free = true;
            for (int machine = 1; machine <= machines; machine++) {
                try (ServerSocket probe = new ServerSocket()) {
                    probe.bind(new InetSocketAddress(ip(machine), next));
                } catch (IOException taken) {
                    free = false;
                }
            }
            if (free) {
                ports.add(next);
            } else {
                ports.clear();
            }
            next++;
        }
        return ports.stream().mapToInt(port -> port).toArray();
    }

    /** Returns the milliseconds since the start of the case. */
    long now() {
        return (System.nanoTime() - startedAt) / 1_000_000;
    }

    synchronized void note(String text) {
        try {
            record.write(String.format(Locale.ROOT, "%7d ms  %s%n", now(), text));
            record.flush();
        } catch (IOException closed) {
            // The case has ended.
        }
    }

    String ip(int machine) {
        return "127." + network + ".1." + machine;
    }

    String engineIp(int engine) {
        return "127." + network + ".2." + engine;
    }

    private String zone(int machine) {
        return "zone-" + (char) ('a' + (machine - 1) % 3);
    }

    private Map<String, String> settings(int machine, String role, boolean bootstrap) {
        Map<String, String> fields = new LinkedHashMap<>();
        fields.put("node", "front-" + machine);
        fields.put("zone", zone(machine));
        fields.put("ip", ip(machine));
        if (role.equals("gateway")) {
            fields.put("listen.front", ip(machine) + ":" + front);
            fields.put("listen.readiness_address", ip(machine) + ":" + readiness);
        } else {
            fields.put("listen.control", ip(machine) + ":" + control);
            fields.put("data_dir", folder.resolve("data-" + machine).toString());
        }
        fields.put("internal_ports", internal + "," + (internal + 1));
        fields.put("bootstrap", Boolean.toString(bootstrap));
        fields.put("tolerate.machines", Integer.toString(machines / 2));
        fields.put("bounds.revoke_ms", "5000");
        fields.put("bounds.retry_budget_ratio", "0.2");
        fields.put("bounds.retry_budget_slack", "106");
        fields.put("bounds.retry_window_s", "10");
        fields.put("bounds.free_ms", "4000");
        fields.put("bounds.grace_s", "8");
        return fields;
    }

    private String render(int machine, String role, boolean bootstrap) throws IOException {
        Map<String, String> fields = settings(machine, role, bootstrap);
        String template = Files.readString(root.resolve("deploy/process.yaml.template"));
        Matcher sections = SECTION.matcher(template);
        StringBuilder text = new StringBuilder();
        while (sections.find()) {
            String replacement = "";
            if (sections.group(2).equals("seeds")) {
                List<String> seeds = new ArrayList<>();
                for (int seed = 1; seed <= Math.min(3, machines); seed++) {
                    seeds.add('"' + ip(seed) + ":" + control + '"');
                }
                replacement = String.join(",", seeds);
            } else if (fields.containsKey(sections.group(2)) == sections.group(1).equals("#")) {
                replacement = sections.group(3);
            }
            sections.appendReplacement(text, Matcher.quoteReplacement(replacement));
        }
        sections.appendTail(text);
        Matcher placeholders = FIELD.matcher(text.toString());
        StringBuilder rendered = new StringBuilder();
        while (placeholders.find()) {
            placeholders.appendReplacement(
                    rendered, Matcher.quoteReplacement(fields.getOrDefault(placeholders.group(1), "")));
        }
        placeholders.appendTail(rendered);
        return rendered.toString();
    }

    /** Starts a program of the deploy file on a machine. */
    void start(int machine, String role, boolean bootstrap) throws IOException {
        Path settings = folder.resolve(role + "-" + machine + ".yaml");
        Files.writeString(settings, render(machine, role, bootstrap));
        List<String> words = new ArrayList<>();
        for (String word : commands.get(role).split(" +")) {
            words.add(word.equals("/etc/bamboohatch/boot.conf") ? settings.toString() : word);
        }
        ProcessBuilder builder = new ProcessBuilder(words).directory(root.toFile());
        builder.environment().keySet().retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
        builder.environment().put("BAMBOOHATCH_BOOT", settings.toString());
        Path log = Path.of(System.getProperty("logs", folder.toString())).resolve(role + "-" + machine + ".log");
        builder.redirectErrorStream(true).redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()));
        processes.put(role + "-" + machine, builder.start());
        note("platform: " + role + " of machine " + machine + " is started");
    }

    void startAll(boolean bootstrap) throws IOException {
        for (int machine = 1; machine <= machines; machine++) {
            start(machine, "control", bootstrap);
            start(machine, "gateway", bootstrap);
        }
    }

    Process process(int machine, String role) {
        return processes.get(role + "-" + machine);
    }

    /** Sends a signal to a process that this case has started. */
    void signal(int machine, String role, String signal) throws Exception {
        long pid = process(machine, role).pid();
        new ProcessBuilder("kill", "-" + signal, Long.toString(pid)).start().waitFor();
        note("platform: SIG" + signal + " to " + role + " of machine " + machine);
    }

    /** Kills all processes of a machine. */
    void kill(int machine) throws Exception {
        for (String role : commands.keySet()) {
            process(machine, role).destroyForcibly();
        }
        for (String role : commands.keySet()) {
            process(machine, role).waitFor();
        }
        note("platform: all processes of machine " + machine + " are killed");
    }

    boolean isReady(int machine) {
        try {
            return call(ip(machine), readiness, "GET", "/readyz", Map.of(), new byte[0], 1_000).status == 200;
        } catch (IOException failed) {
            return false;
        }
    }

    /** Waits until all gateways count as ready. */
    boolean awaitReady(long millis) throws InterruptedException {
        long until = now() + millis;
        while (now() < until) {
            boolean ready = true;
            for (int machine = 1; machine <= machines; machine++) {
                ready &= isReady(machine);
            }
            if (ready) {
                note("platform: all gateways are ready");
                return true;
            }
            Thread.sleep(100);
        }
        return false;
    }

    /**
     * Sends an order of the operator until it gets a clear answer. Moves on to the next machine, with increasing backoff,
     * after a failure, a 5xx, or some time without a response: a second, and one more for each megabyte of the body.
     */
    Answer operate(String method, String path, String body, long millis) throws InterruptedException {
        long until = now() + millis;
        int first = orders.getAndIncrement();
        for (int turn = 0; now() < until; turn++) {
            try {
                Answer answer = call(
                        ip(1 + (first + turn) % machines),
                        control,
                        method,
                        path,
                        Map.of("Content-Type", "application/json"),
                        body.getBytes(StandardCharsets.UTF_8),
                        1_000 + body.length() / 1_000);
                if (answer.status < 500) {
                    return answer;
                }
            } catch (IOException failed) {
                // The next machine is asked.
            }
            Thread.sleep(Math.min(1_000, 100L << Math.min(turn, 4)));
        }
        return null;
    }

    String nextId() {
        return String.format(Locale.ROOT, "%016x", 0x5a00_0000_0000_0000L + requests.incrementAndGet());
    }

    /** An answer to a call. */
    static final class Answer {

        int status;

        final Map<String, String> headers = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);

        byte[] body = new byte[0];

        /** Whether the answer shows by itself that it is whole. */
        boolean complete;

        String text() {
            return new String(body, StandardCharsets.UTF_8);
        }
    }

    /** Sends a request on a new connection and reads the answer. */
    static Answer call(
            String host, int port, String method, String path, Map<String, String> headers, byte[] body, int millis)
            throws IOException {
        long until = System.nanoTime() + millis * 1_000_000L;
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress(host, port), Math.min(1_000, millis));
            socket.setTcpNoDelay(true);
            StringBuilder head = new StringBuilder(method + " " + path + " HTTP/1.1\r\n");
            if (!headers.containsKey("Host")) {
                head.append("Host: ").append(host).append("\r\n");
            }
            headers.forEach((name, value) ->
                    head.append(name).append(": ").append(value).append("\r\n"));
            if (body.length > 0 || method.equals("POST") || method.equals("PUT")) {
                head.append("Content-Length: ").append(body.length).append("\r\n");
            }
            head.append("\r\n");
            ByteArrayOutputStream message = new ByteArrayOutputStream();
            message.writeBytes(head.toString().getBytes(StandardCharsets.ISO_8859_1));
            message.writeBytes(body);
            socket.getOutputStream().write(message.toByteArray());
            socket.getOutputStream().flush();
            socket.setSoTimeout((int) Math.max(1, (until - System.nanoTime()) / 1_000_000));
            return read(socket.getInputStream());
        }
    }

    static Answer read(InputStream input) throws IOException {
        Answer answer = new Answer();
        String[] lines = readHead(input).split("\r\n");
        answer.status = Integer.parseInt(lines[0].split(" ")[1]);
        for (int line = 1; line < lines.length; line++) {
            int colon = lines[line].indexOf(':');
            answer.headers.put(
                    lines[line].substring(0, colon), lines[line].substring(colon + 1).strip());
        }
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        try {
            answer.complete = readBody(input, answer.headers, body, true);
        } finally {
            answer.body = body.toByteArray();
        }
        return answer;
    }

    static String readHead(InputStream input) throws IOException {
        ByteArrayOutputStream head = new ByteArrayOutputStream();
        int matched = 0;
        while (matched < 4) {
            int next = input.read();
            if (next < 0) {
                throw new EOFException(head.size() == 0 ? "closed" : "closed within a head");
            }
            head.write(next);
            matched = next == "\r\n\r\n".charAt(matched) ? matched + 1 : next == '\r' ? 1 : 0;
        }
        return head.toString(StandardCharsets.ISO_8859_1);
    }

    /** Reads a body; returns whether its end was shown. */
    static boolean readBody(
            InputStream input, Map<String, String> headers, ByteArrayOutputStream body, boolean untilClose)
            throws IOException {
        if ("chunked".equalsIgnoreCase(headers.get("Transfer-Encoding"))) {
            while (true) {
                int size = Integer.parseInt(readLine(input).split(";")[0].strip(), 16);
                body.writeBytes(readFully(input, size));
                readLine(input);
                if (size == 0) {
                    return true;
                }
            }
        }
        if (headers.containsKey("Content-Length")) {
            body.writeBytes(readFully(input, Integer.parseInt(headers.get("Content-Length"))));
            return true;
        }
        if (untilClose) {
            body.writeBytes(input.readAllBytes());
        }
        return !untilClose;
    }

    private static byte[] readFully(InputStream input, int size) throws IOException {
        byte[] bytes = input.readNBytes(size);
        if (bytes.length < size) {
            throw new EOFException("closed within a body");
        }
        return bytes;
    }

    private static String readLine(InputStream input) throws IOException {
        StringBuilder line = new StringBuilder();
        for (int next = input.read(); next != '\n'; next = input.read()) {
            if (next < 0) {
                throw new EOFException("closed within a body");
            }
            line.append((char) next);
        }
        return line.toString().strip();
    }

    static void write(OutputStream output, String text) throws IOException {
        output.write(text.getBytes(StandardCharsets.ISO_8859_1));
        output.flush();
    }

    static InetAddress address(String ip) throws IOException {
        return InetAddress.getByName(ip);
    }

    @Override
    public void close() throws IOException {
        for (Process process : processes.values()) {
            process.destroyForcibly();
        }
        for (Process process : processes.values()) {
            try {
                process.waitFor();
            } catch (InterruptedException interrupted) {
                Thread.currentThread().interrupt();
            }
        }
        note("platform: all processes are ended");
        record.close();
        try (Stream<Path> files = Files.walk(folder)) {
            files.sorted(Comparator.reverseOrder()).forEach(file -> file.toFile().delete());
        }
    }
}
