package org.bamboohatch.gateway.forward;

import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.Random;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicInteger;

import org.bamboohatch.gateway.forward.FaultyTargets.Sent;

/**
 * Callers of two gateways whose targets break responses. Each response that a caller takes for complete must be one that a
 * target sent to its request.
 */
final class ResponseSoak {

    private static final int TARGETS = 5;

    private static final int CALLERS = 6;

    private static final int REQUESTS_PER_CALLER = 60;

    private static final List<String> PATHS = List.of("/read/x", "/order/x", "/stream/x", "/generate/x");

    private final long seed;

    private final FaultyTargets faulty;

    private final FakeTarget[] targets = new FakeTarget[TARGETS];

    private final Queue<String> violations = new ConcurrentLinkedQueue<>();

    private final Map<String, AtomicInteger> outcomes = new TreeMap<>();

    private volatile boolean ended;

    /** A response as its caller received it; the status is zero if there was none. */
    private record Received(int status, Map<String, String> headers, String body, boolean complete) {

        boolean keepsConnection() {
            return complete && !headers.getOrDefault("connection", "").equalsIgnoreCase("close");
        }
    }

    ResponseSoak(long seed) {
        this.seed = seed;
        this.faulty = new FaultyTargets(seed);
    }

    /** Sends all requests of all callers and waits for their responses. */
    ResponseSoak run() throws Exception {
        for (int number = 0; number < TARGETS; number++) {
            targets[number] = faulty.start();
        }
        try (GatewayHarness first = new GatewayHarness(targets);
                GatewayHarness second = new GatewayHarness(targets)) {
            List<Thread> callers = new ArrayList<>();
            for (int caller = 0; caller < CALLERS; caller++) {
                GatewayHarness gateway = caller % 2 == 0 ? first : second;
                String name = "c" + seed + "-" + caller;
                callers.add(new Thread(() -> call(gateway, name), name));
            }
            Thread restarting = new Thread(() -> restartCrashed(first, second), "restarting");
            callers.forEach(Thread::start);
            restarting.start();
            for (Thread caller : callers) {
                caller.join();
            }
            ended = true;
            restarting.join();
        } finally {
            for (FakeTarget target : targets) {
                target.close();
            }
        }
        return this;
    }

    List<String> violations() {
        return List.copyOf(violations);
    }

    /** Returns the number of responses by path and outcome. */
    Map<String, AtomicInteger> outcomes() {
        return outcomes;
    }

    /** Announces a new target in the place of each that has crashed. */
    private void restartCrashed(GatewayHarness... gateways) {
        try {
            while (!ended) {
                Thread.sleep(100);
                boolean changed = false;
                for (int number = 0; number < TARGETS; number++) {
                    if (targets[number].hasCrashed()) {
                        targets[number] = faulty.start();
                        changed = true;
                    }
                }
                for (GatewayHarness gateway : gateways) {
                    if (changed) {
                        gateway.apply(targets);
                    }
                }
            }
        } catch (Exception failed) {
            violations.add("targets were not restarted: " + failed);
        }
    }

    private void call(GatewayHarness gateway, String caller) {
        Random random = new Random(seed * 31 + caller.hashCode());
        Socket connection = null;
        for (int number = 0; number < REQUESTS_PER_CALLER; number++) {
            String id = caller + "-" + number;
            String path = PATHS.get(random.nextInt(PATHS.size()));
            Received received = new Received(0, Map.of(), "", false);
            try {
                if (connection == null) {
                    connection = gateway.connect();
                } else if (connection.getInputStream().available() > 0) {
                    violations.add(id + ": bytes precede the request");
                }
                connection.getOutputStream().write(request(path, id, random).getBytes(StandardCharsets.US_ASCII));
                received = receive(connection.getInputStream());
                if (!received.keepsConnection() || random.nextInt(5) == 0) {
                    connection.close();
                    connection = null;
                }
            } catch (IOException lost) {
                connection = null;
            } catch (RuntimeException malformed) {
                violations.add(id + ": malformed response: " + malformed);
                connection = null;
            }
            check(id, path, received);
        }
    }

    private static String request(String path, String id, Random random) {
        String body = "prompt ".repeat(1 + (random.nextInt(3) == 0 ? random.nextInt(2_000) : 0));
        String head = GatewayHarness.request("POST", path, id, "", "").replace("Connection: close\r\n", "");
        String fields = head.substring(0, head.length() - 2)
                + (path.startsWith("/generate/") ? "Token-Counts: 1000,50\r\n" : "");
        if (random.nextBoolean()) {
            return fields + "Content-Length: " + body.length() + "\r\n\r\n" + body;
        }
        int middle = 1 + random.nextInt(body.length() - 1);
        return fields + "Transfer-Encoding: chunked\r\n\r\n" + FakeTarget.chunk(body.substring(0, middle))
                + FakeTarget.chunk(body.substring(middle)) + "0\r\n\r\n";
    }

    private static Received receive(InputStream stream) throws IOException {
        int status = Integer.parseInt(FakeTarget.readLine(stream).split(" ")[1]);
        Map<String, String> headers = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
        for (String field = FakeTarget.readLine(stream); !field.isEmpty(); field = FakeTarget.readLine(stream)) {
            int colon = field.indexOf(':');
            headers.put(field.substring(0, colon), field.substring(colon + 1).strip());
        }
        StringBuilder body = new StringBuilder();
        boolean complete = true;
        try {
            if (headers.containsKey("Transfer-Encoding")) {
                int length;
                do {
                    length = Integer.parseInt(FakeTarget.readLine(stream), 16);
                    body.append(readText(stream, length));
                    FakeTarget.readLine(stream);
                } while (length > 0);
            } else {
                body.append(readText(stream, Integer.parseInt(headers.get("Content-Length"))));
            }
        } catch (IOException cut) {
            complete = false;
        }
        return new Received(status, headers, body.toString(), complete);
    }

    private static String readText(InputStream stream, int length) throws IOException {
        byte[] bytes = stream.readNBytes(length);
        if (bytes.length < length) {
            throw new IOException("connection ended");
        }
        return new String(bytes, StandardCharsets.US_ASCII);
    }

    private void check(String id, String path, Received received) {
        List<Sent> sent = faulty.sent(id);
        if (path.startsWith("/order/") && sent.stream().filter(Sent::executed).count() > 1) {
            report(id, path, received, "runs twice");
        }
        String seal = received.headers().getOrDefault("Answer-Seal", "");
        boolean success = received.status() >= 200 && received.status() < 300;
        count(path + (!received.complete() ? " incomplete" : success ? " complete" : " failed"));
        if (!received.complete() || !success && seal.isEmpty()) {
            return;
        }
        Sent origin = sent.stream()
                .filter(candidate -> candidate.seal().equals(seal))
                .findFirst()
                .orElse(null);
        if (origin == null) {
            report(id, path, received, "no target sent it");
        } else if (origin.status() != received.status()) {
            report(id, path, received, "the target sent another status");
        } else {
            boolean stream = success && FaultyTargets.isStream(path);
            String whole = stream ? String.join("", FaultyTargets.events(id)) : origin.body();
            if (!received.body().equals(whole)) {
                report(
                        id,
                        path,
                        received,
                        "the body has " + received.body().length() + " of " + whole.length() + " bytes");
            }
        }
    }

    private synchronized void count(String outcome) {
        outcomes.computeIfAbsent(outcome, added -> new AtomicInteger()).incrementAndGet();
    }

    private void report(String id, String path, Received received, String violation) {
        List<String> attempts = faulty.sent(id).stream().map(Sent::describe).toList();
        String body = received.body();
        String bodyEnd = body.substring(Math.max(0, body.length() - 60)).replace("\n", "\\n");
        violations.add(id + " " + path + " " + received.status() + ": " + violation + "; attempts " + attempts
                + "; the body ends with '" + bodyEnd + "'");
    }
}
