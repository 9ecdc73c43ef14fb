import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;

/** Stand-in of an engine of a plain service: registers itself, answers requests, and may crash and start again. */
class Engine {

    /** A request that has reached an engine. */
    static final class Arrival {

        String method;

        String path;

        final Map<String, String> headers = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);

        byte[] body = new byte[0];

        String id() {
            return headers.getOrDefault(Lab.PREFIX + "Request-Id", "");
        }
    }

    static final int HEARTBEAT_MS = 1_200;

    final Lab lab;

    final int number;

    final String service;

    final String zone;

    private volatile ServerSocket server;

    private volatile String instance;

    private volatile long born;

    volatile boolean draining;

    private long sequence;

    private int starts;

    private final Set<Socket> connections = ConcurrentHashMap.newKeySet();

    Engine(Lab lab, int number, String service) {
        this.lab = lab;
        this.number = number;
        this.service = service;
        this.zone = "zone-" + (char) ('a' + (number - 1) % 3);
    }

    String address() {
        return lab.engineIp(number) + ":9000";
    }

    String instance() {
        return instance;
    }

    synchronized void start() throws IOException {
        starts++;
        instance = "i-" + number + "-" + starts;
        born = System.currentTimeMillis();
        sequence = 0;
        draining = false;
        ServerSocket opened = new ServerSocket();
        opened.setReuseAddress(true);
        opened.bind(new InetSocketAddress(lab.engineIp(number), 9000), 128);
        server = opened;
        lab.note("engine " + number + ": starts as " + instance);
        daemon(() -> accept(opened));
        daemon(() -> beat(opened));
    }

    /** Ends all connections at once, as when the process of the engine ends. */
    synchronized void crash() {
        ServerSocket ended = server;
        if (ended == null) {
            return;
        }
        server = null;
        lab.note("engine " + number + ": " + instance + " crashes");
        close(ended);
        connections.forEach(Engine::close);
        connections.clear();
    }

    /** Crashes and starts again after some time. */
    void crashFor(long millis) {
        crash();
        daemon(() -> {
            pause(millis);
            try {
                start();
            } catch (IOException failed) {
                lab.note("engine " + number + ": cannot start: " + failed);
            }
        });
    }

    boolean runs(ServerSocket incarnation) {
        return server == incarnation;
    }

    static Thread daemon(Runnable task) {
        Thread thread = new Thread(task);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    static void pause(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
    }

    static void close(AutoCloseable closed) {
        try {
            closed.close();
        } catch (Exception ignored) {
            // Closed already.
        }
    }

    private void beat(ServerSocket incarnation) {
        int turn = number;
        while (runs(incarnation)) {
            boolean acknowledged = false;
            for (int tries = 0; !acknowledged && tries < lab.machines && runs(incarnation); tries++) {
                acknowledged = heartbeat(1 + Math.floorMod(turn, lab.machines));
                turn += acknowledged ? 0 : 1;
            }
            pause(acknowledged ? HEARTBEAT_MS : 200);
        }
    }

    private boolean heartbeat(int machine) {
        sequence++;
        String body = "{\"service\":\"" + service + "\",\"address\":\"" + address() + "\",\"zone\":\"" + zone
                + "\",\"version\":\"v1\",\"slots\":8,\"state\":\"" + (draining ? "draining" : "ready")
                + "\",\"cold_remaining_ms\":0,\"sequence\":" + sequence + ",\"born\":" + born + "}";
        try {
            return Lab.call(
                                    lab.ip(machine),
                                    lab.control,
                                    "PUT",
                                    "/instances/" + instance,
                                    Map.of("Content-Type", "application/json"),
                                    body.getBytes(StandardCharsets.UTF_8),
                                    1_000)
                            .status
                    / 100
                    == 2;
        } catch (IOException failed) {
            return false;
        }
    }

    private void accept(ServerSocket incarnation) {
        while (runs(incarnation)) {
            try {
                Socket socket = incarnation.accept();
                socket.setTcpNoDelay(true);
                connections.add(socket);
                daemon(() -> serve(incarnation, socket));
            } catch (IOException closed) {
                return;
            }
        }
    }

    private void serve(ServerSocket incarnation, Socket socket) {
        try (socket) {
            InputStream input = socket.getInputStream();
            while (runs(incarnation)) {
                Arrival arrival = readArrival(input);
                if (!runs(incarnation)) {
                    return;
                }
                if (arrival.path.equals("/healthz")) {
                    Lab.write(
                            socket.getOutputStream(),
                            "HTTP/1.1 200 OK\r\n" + Lab.PREFIX + "Instance-Id: " + instance
                                    + "\r\nContent-Length: 0\r\n\r\n");
                } else if (!instance.equals(arrival.headers.getOrDefault(Lab.PREFIX + "Expect-Instance", instance))) {
                    Lab.write(
                            socket.getOutputStream(),
                            "HTTP/1.1 421 Misdirected Request\r\n" + Lab.PREFIX + "Request-Id: " + arrival.id() + "\r\n"
                                    + Lab.PREFIX + "Not-Executed: 1\r\nContent-Length: 0\r\n\r\n");
                } else if (!run(arrival, socket)) {
                    return;
                }
            }
        } catch (IOException | RuntimeException ended) {
            // The connection has ended.
        } finally {
            connections.remove(socket);
        }
    }

    private static Arrival readArrival(InputStream input) throws IOException {
        Arrival arrival = new Arrival();
        String[] lines = Lab.readHead(input).split("\r\n");
        arrival.method = lines[0].split(" ")[0];
        arrival.path = lines[0].split(" ")[1];
        for (int line = 1; line < lines.length; line++) {
            int colon = lines[line].indexOf(':');
            arrival.headers.put(
                    lines[line].substring(0, colon), lines[line].substring(colon + 1).strip());
        }
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        Lab.readBody(input, arrival.headers, body, false);
        arrival.body = body.toByteArray();
        return arrival;
    }

    /**
     * Runs a request.
     *
     * @return whether the connection remains open
     */
    boolean run(Arrival arrival, Socket socket) throws IOException {
        pause(5);
        answer(arrival, socket, "done by " + instance);
        return true;
    }

    void answer(Arrival arrival, Socket socket, String body) throws IOException {
        Lab.write(
                socket.getOutputStream(),
                "HTTP/1.1 200 OK\r\n" + Lab.PREFIX + "Request-Id: " + arrival.id() + "\r\n" + Lab.PREFIX
                        + "Response-Seal: s." + arrival.id() + "\r\nContent-Length: " + body.length() + "\r\n\r\n" + body);
    }
}
