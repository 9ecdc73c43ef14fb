package bamboohatch.review;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.List;
import java.util.concurrent.atomic.AtomicLong;

/** An engine. Announces itself, turns away what is meant for another engine, and runs requests as its behaviour says. */
final class Engine {

    /** Runs one request. The body is still to be read. */
    interface Behaviour {

        /**
         * @return whether the connection may carry another request
         */
        boolean run(Engine engine, Http.Head request, InputStream in, OutputStream out, Socket socket)
                throws IOException, InterruptedException;
    }

    private static final long HEARTBEAT_MS = 1_200;

    final String id;

    final String service;

    final String address;

    final String zone;

    private final int slots;

    private final Deployment deployment;

    private final Record record;

    private final Behaviour behaviour;

    private final long born = System.currentTimeMillis();

    private final AtomicLong sequence = new AtomicLong();

    private volatile boolean beating = true;

    /** Whether all answers say that the engine leaves. */
    volatile boolean leaving;

    /** Address for heartbeats that the last answer named. */
    volatile String heartbeatAddress = "";

    private final ServerSocket server;

    Engine(
            Deployment deployment,
            Record record,
            int number,
            String service,
            String zone,
            int slots,
            int receiveBuffer,
            Behaviour behaviour)
            throws IOException {
        this.deployment = deployment;
        this.record = record;
        this.id = "i-" + Long.toHexString(0x5e110000L + number) + Long.toHexString(born & 0xffff);
        this.service = service;
        this.zone = zone;
        this.slots = slots;
        this.behaviour = behaviour;
        this.address = deployment.engineAddress(number);
        this.server = new ServerSocket();
        if (receiveBuffer > 0) {
            server.setReceiveBufferSize(receiveBuffer);
        }
        server.bind(Http.address(address), 128);
        daemon(this::accept);
        daemon(this::beat);
    }

    private static void daemon(Runnable task) {
        Thread thread = new Thread(task);
        thread.setDaemon(true);
        thread.start();
    }

    private void accept() {
        while (!server.isClosed()) {
            try {
                Socket socket = server.accept();
                daemon(() -> serve(socket));
            } catch (IOException closed) {
                return;
            }
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            socket.setTcpNoDelay(true);
            InputStream in = new BufferedInputStream(socket.getInputStream());
            OutputStream out = socket.getOutputStream();
            boolean open = true;
            while (open) {
                Http.Head request = Http.readHead(in);
                String expected = request.field("X-Bamboohatch-Expect-Instance");
                if (!expected.isEmpty() && !expected.equals(id)) {
                    Http.readExactly(in, length(request));
                    answer(out, request, "421 Misdirected Request", "X-Bamboohatch-Not-Executed: 1\r\n", "");
                } else {
                    open = behaviour.run(this, request, in, out, socket);
                }
            }
        } catch (IOException | InterruptedException ended) {
            // The connection has ended.
        }
    }

    static int length(Http.Head request) {
        String length = request.field("content-length");
        return length.isEmpty() ? 0 : Integer.parseInt(length);
    }

    /** Answers with a body of known length; a success bears a seal. */
    void answer(OutputStream out, Http.Head request, String status, String fields, String body) throws IOException {
        out.write(Http.bytes("HTTP/1.1 " + status + "\r\n" + common(request) + fields + "Content-Length: " + body.length()
                + "\r\n\r\n" + body));
        out.flush();
    }

    /** Fields that all answers of the engine bear. */
    String common(Http.Head request) {
        String requestId = request.field("X-Bamboohatch-Request-Id");
        return (requestId.isEmpty() ? "" : "X-Bamboohatch-Request-Id: " + requestId + "\r\n")
                + "X-Bamboohatch-Response-Seal: " + id + "." + requestId + "\r\n" + "Keep-Alive: timeout=5\r\n"
                + (leaving ? "Server-Leaving: 1\r\n" : "");
    }

    /** A heartbeat with the next number, to be sent now or later. */
    String nextBeat(String state) {
        return String.format(
                "{\"service\":\"%s\",\"address\":\"%s\",\"zone\":\"%s\",\"version\":\"v1\",\"slots\":%d,\"state\":\"%s\","
                        + "\"cold_remaining_ms\":0,\"stage\":\"both\",\"models\":[{\"name\":\"m\",\"version\":1,"
                        + "\"adapters\":[]}],\"born\":%d,\"sequence\":%d}",
                service, address, zone, slots, state, born, sequence.incrementAndGet());
    }

    private void beat() {
        for (int turn = 0; true; Deployment.pause(HEARTBEAT_MS)) {
            if (!beating) {
                return;
            }
            String beat = nextBeat("ready");
            String receiver = heartbeatAddress.isEmpty() ? next(turn) : heartbeatAddress;
            for (int attempt = 0; attempt < Deployment.MACHINES && beating; attempt++) {
                Http.Answer answer = Http.json(receiver, "PUT", "/instances/" + id, beat, 1_000);
                if (answer.status() == 200) {
                    heartbeatAddress = addressIn(answer);
                    break;
                }
                heartbeatAddress = "";
                turn++;
                receiver = next(turn);
            }
        }
    }

    private String next(int turn) {
        List<Integer> controls = deployment.controls();
        return deployment.control(controls.get(turn % controls.size()));
    }

    static String addressIn(Http.Answer answer) {
        return answer.body().replaceAll("(?s).*\"heartbeat_address\"\\s*:\\s*\"([^\"]*)\".*", "$1");
    }

    /** Listens no longer. */
    void exit() {
        try {
            server.close();
        } catch (IOException closed) {
            // It listens no longer.
        }
    }

    void stopBeating() {
        beating = false;
    }
}
