import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Consumer;

/**
 * Stand-in for an engine of a plain service: registers, renews its registration every 1.2 s at the nodes that serve control
 * and answers each request with success. A request for another instance gets 421.
 */
final class PlainServer {

    private static final long HEARTBEAT_MS = 1_200;

    private final String id;

    private final String service;

    private final String zone;

    private final String ip;

    private final ServerSocket listener = new ServerSocket();

    private final List<String> controls;

    private final Consumer<String> onRun;

    private final long born = System.currentTimeMillis();

    private long sequence;

    PlainServer(
            String id, String service, String zone, String ip, List<String> controls, Consumer<String> onRun)
            throws IOException {
        this.id = id;
        this.service = service;
        this.zone = zone;
        this.ip = ip;
        this.controls = controls;
        this.onRun = onRun;
        listener.bind(new InetSocketAddress(InetAddress.getByName(ip), 0), 200);
        daemon(this::accept);
        daemon(this::heartbeats);
    }

    static void daemon(Runnable task) {
        Thread thread = new Thread(task);
        thread.setDaemon(true);
        thread.start();
    }

    private void heartbeats() {
        while (true) {
            sequence++;
            String body = "{\"service\":\"" + service + "\",\"address\":\"" + ip + ":" + listener.getLocalPort()
                    + "\",\"zone\":\"" + zone + "\",\"version\":\"v1\",\"slots\":20,\"state\":\"ready\","
                    + "\"cold_remaining_ms\":0,\"stage\":\"both\",\"models\":[],\"sequence\":" + sequence
                    + ",\"born\":" + born + "}";
            int first = (int) ((sequence + id.hashCode()) & 0x7fff);
            for (int index = 0; index < controls.size(); index++) {
                String control = controls.get((first + index) % controls.size());
                if (Deployment.call("PUT", control, "/instances/" + id, body, 1_000) == 200) {
                    break;
                }
            }
            try {
                Thread.sleep(HEARTBEAT_MS);
            } catch (InterruptedException interrupted) {
                return;
            }
        }
    }

    private void accept() {
        try {
            while (true) {
                Socket socket = listener.accept();
                daemon(() -> serve(socket));
            }
        } catch (IOException closed) {
            // The script ends.
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            InputStream input = new BufferedInputStream(socket.getInputStream());
            while (true) {
                PlainCall.line(input);
                Map<String, String> headers = new TreeMap<>();
                for (String field = PlainCall.line(input); !field.isEmpty(); field = PlainCall.line(input)) {
                    int colon = field.indexOf(':');
                    headers.put(
                            field.substring(0, colon).toLowerCase(Locale.ROOT),
                            field.substring(colon + 1).strip());
                }
                input.readNBytes(Integer.parseInt(headers.getOrDefault("content-length", "0")));
                String request = headers.get("x-bamboohatch-request-id");
                boolean expected = id.equals(headers.get("x-bamboohatch-expect-instance"));
                if (expected) {
                    onRun.accept(request);
                }
                String answer = "HTTP/1.1 " + (expected ? "200 OK" : "421 Misdirected Request") + "\r\n"
                        + "X-Bamboohatch-Request-Id: " + request + "\r\n"
                        + (expected ? "X-Bamboohatch-Response-Seal: 1.2.3\r\n" : "X-Bamboohatch-Instance-Id: " + id + "\r\n")
                        + "Content-Length: 2\r\n\r\nok";
                socket.getOutputStream().write(answer.getBytes(StandardCharsets.US_ASCII));
            }
        } catch (IOException closed) {
            // The gateway has closed the connection.
        }
    }
}
