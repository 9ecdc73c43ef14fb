import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.atomic.AtomicLong;

/**
 * One of three model engines sends empty comments without end in place of the events of its answers, until its caller
 * closes. Requests of another service pass the same gateways meanwhile.
 */
final class EndlessBytesCase {

    private static final int MACHINES = 3;

    private static final int STREAMS = 72;

    private static final long TROUBLE_MS = 20_000;

    private static final long TIMEOUT_MS = 800;

    private static final long EXCESS_MS = 500;

    /** Time from one write of the engine in trouble on a connection to the next, in milliseconds. */
    private static final long WRITE_INTERVAL_MS = 2;

    private static final byte[] COMMENTS = ":\n\n".repeat(21_845).getBytes(StandardCharsets.US_ASCII);

    private static final AtomicLong SENT = new AtomicLong();

    private static volatile boolean troubled;

    private EndlessBytesCase() {}

    private static final class StreamEngine extends Engine {

        StreamEngine(Lab lab, int number) {
            super(lab, number, "llm");
        }

        @Override
        boolean run(Arrival arrival, Socket socket) throws IOException {
            OutputStream output = socket.getOutputStream();
            Lab.write(
                    output,
                    "HTTP/1.1 200 OK\r\n" + Lab.PREFIX + "Request-Id: " + arrival.id() + "\r\n" + Lab.PREFIX
                            + "Response-Seal: s." + arrival.id()
                            + "\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
            if (number == 1 && troubled) {
                flood(arrival, output);
                return false;
            }
            for (int event = 1; event <= 10; event++) {
                String text = "id: " + event + "\ndata: piece " + event + "\n\n";
                Lab.write(output, Integer.toHexString(text.length()) + "\r\n" + text + "\r\n");
                pause(30);
            }
            Lab.write(output, "0\r\n\r\n");
            return true;
        }

        private void flood(Arrival arrival, OutputStream output) throws IOException {
            lab.note("engine 1: comments without end in the answer to " + arrival.id());
            byte[] size = (Integer.toHexString(COMMENTS.length) + "\r\n").getBytes(StandardCharsets.US_ASCII);
            long bytes = 0;
            try {
                while (true) {
                    output.write(size);
                    output.write(COMMENTS);
                    output.write('\r');
                    output.write('\n');
                    bytes += COMMENTS.length;
                    pause(WRITE_INTERVAL_MS);
                }
            } finally {
                SENT.addAndGet(bytes);
                lab.note("engine 1: the caller of " + arrival.id() + " has closed after " + bytes + " bytes");
            }
        }
    }

    /** What a client has seen of one request of the plain service. */
    private record Outcome(long sentAt, long tookMillis, int status) {}

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
        String common = "\"host\":\"portal.example\",\"priority\":1,\"public\":false,\"max_attempts\":2,";
        String service = ",\"health_path\":\"/healthz\",\"max_connections\":110,\"protocol\":\"h1\",\"tls\":false}";
        String configuration = "{\"version\":7,\"routes\":[{\"name\":\"r-stock\"," + common
                + "\"path_prefix\":\"/stock/\",\"kind\":\"idempotent\",\"timeout_ms\":" + TIMEOUT_MS
                + ",\"target_latency_ms\":200,\"service\":\"stock\"},{\"name\":\"r-stream\"," + common
                + "\"path_prefix\":\"/stream/\",\"kind\":\"streaming\",\"stream_resume\":true,\"target_gap_ms\":1000,"
                + "\"timeout_ms\":15000,\"target_latency_ms\":3000,\"service\":\"llm\"}],\"services\":[{\"name\":\"stock\""
                + service + ",{\"name\":\"llm\"" + service + "],\"limits\":{\"max_header_bytes\":16384,"
                + "\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000},\"tenants\":[{\"name\":"
                + "\"tenant-a\",\"api_keys\":[\"key-a\"],\"priority\":1}]}";
        Lab.Answer accepted = lab.operate("PUT", "/config", configuration, 20_000);
        if (accepted == null || accepted.status != 200 || !lab.awaitReady(15_000)) {
            return 2;
        }
        for (int number = 1; number <= 3; number++) {
            new StreamEngine(lab, number).start();
            new Engine(lab, 3 + number, "stock").start();
        }
        // The machines are in touch, and the programs have answered requests, before what is judged begins.
        load(lab, 8_000);
        lab.note("warm-up ends");
        List<Outcome> quiet = load(lab, 8_000);
        if (judge(lab, "before the trouble", quiet) != 0) {
            lab.note("the machine is too busy for this case");
            return 2;
        }
        troubled = lab.trouble;
        lab.note(troubled ? "engine 1 is in trouble from now on" : "no trouble");
        int exit = judge(lab, "while engine 1 is in trouble", load(lab, TROUBLE_MS));
        troubled = false;
        lab.note("engine 1 has sent " + SENT.get() + " bytes that are no answer");
        return exit;
    }

    /** Sends the usual load for some time. */
    private static List<Outcome> load(Lab lab, long millis) throws InterruptedException {
        ExecutorService clients = Executors.newCachedThreadPool();
        List<Outcome> outcomes = new CopyOnWriteArrayList<>();
        long end = lab.now() + millis;
        for (int client = 0; client < STREAMS; client++) {
            int machine = 1 + client % MACHINES;
            clients.submit(() -> {
                while (lab.now() < end) {
                    request(lab, machine, "/stream/audit", 15_000);
                    Engine.pause(100);
                }
            });
        }
        for (int turn = 0; lab.now() < end; turn++) {
            int machine = 1 + turn % MACHINES;
            clients.submit(() -> outcomes.add(request(lab, machine, "/stock/item", 1_500)));
            Thread.sleep(20);
        }
        Thread.sleep(3_500);
        clients.shutdownNow();
        return new ArrayList<>(outcomes);
    }

    /** Sends a request on a new connection and reads the answer to its end. */
    private static Outcome request(Lab lab, int machine, String path, int deadline) {
        String id = lab.nextId();
        long sentAt = lab.now();
        int status = 0;
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress(lab.ip(machine), lab.front), 1_000);
            socket.setSoTimeout(5_000);
            Lab.write(
                    socket.getOutputStream(),
                    "GET " + path + " HTTP/1.1\r\nHost: portal.example\r\n" + Lab.PREFIX + "Request-Id: " + id + "\r\n"
                            + Lab.PREFIX + "Deadline-Ms: " + deadline + "\r\n" + Lab.PREFIX
                            + "Key: key-a\r\nConnection: close\r\n\r\n");
            InputStream input = socket.getInputStream();
            byte[] buffer = new byte[65_536];
            for (int count = input.read(buffer); count >= 0; count = input.read(buffer)) {
                if (status == 0 && count > 12) {
                    status = Integer.parseInt(new String(buffer, 9, 3, StandardCharsets.US_ASCII));
                }
                if (lab.now() - sentAt > deadline + 2_000) {
                    break;
                }
            }
        } catch (IOException ended) {
            // Status 0 stands for no answer.
        }
        Outcome outcome = new Outcome(sentAt, lab.now() - sentAt, status);
        if (path.startsWith("/stock/") && outcome.tookMillis() > TIMEOUT_MS) {
            lab.note("client: " + path + " " + id + " sent at " + sentAt + " ms to machine " + machine + " -> "
                    + status + " after " + outcome.tookMillis() + " ms");
        }
        return outcome;
    }

    /** Applies the rule to the requests of the plain service. */
    private static int judge(Lab lab, String phase, List<Outcome> outcomes) {
        long lasting = outcomes.stream().filter(each -> each.tookMillis() > TIMEOUT_MS).count();
        long unanswered = outcomes.stream()
                .filter(each -> each.tookMillis() > TIMEOUT_MS + EXCESS_MS)
                .count();
        long longest = outcomes.stream().mapToLong(Outcome::tookMillis).max().orElse(0);
        lab.note(phase + ": " + outcomes.size() + " requests of the plain service, " + lasting + " lasted longer than "
                + TIMEOUT_MS + " ms, " + unanswered + " of them had no final answer " + EXCESS_MS + " ms later, the longest "
                + longest + " ms");
        return unanswered >= 8 && 4 * unanswered > lasting ? 1 : 0;
    }
}
