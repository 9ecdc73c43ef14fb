package org.bamboohatch.gateway.forward;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;

/** A target that answers each request with the bytes that a test provides, including malformed ones. */
final class FakeTarget implements AutoCloseable {

    /** Answers a request by writing to its connection, which is closed if the result is false. */
    interface Script {
        boolean answer(ReceivedRequest request, Socket connection) throws IOException, InterruptedException;

        /** Precedes the body of a request, which is empty here. */
        default void onHead(ReceivedRequest head, Socket connection) throws IOException, InterruptedException {}
    }

    /** A request as it was received. */
    record ReceivedRequest(String line, Map<String, String> headers, byte[] body) {

        String id() {
            return headers.get("request-id");
        }
    }

    final List<ReceivedRequest> received = new CopyOnWriteArrayList<>();

    final CountDownLatch callerGone = new CountDownLatch(1);

    /** The open connections, which end with the target. */
    private final List<Socket> connections = new CopyOnWriteArrayList<>();

    private final ServerSocket listener;

    private final Script script;

    private final Thread accepting = new Thread(this::accept, "fake-target");

    FakeTarget(Script script) throws IOException {
        this.script = script;
        this.listener = new ServerSocket(0, 50, InetAddress.getByName("127.0.0.1"));
        accepting.setDaemon(true);
        accepting.start();
    }

    String address() {
        return "127.0.0.1:" + listener.getLocalPort();
    }

    private void accept() {
        try {
            while (true) {
                Socket connection = listener.accept();
                connections.add(connection);
                Thread serving = new Thread(() -> serve(connection), "fake-target-connection");
                serving.setDaemon(true);
                serving.start();
            }
        } catch (IOException closed) {
            // The test has closed the target.
        }
    }

    private void serve(Socket connection) {
        try (connection) {
            boolean open = true;
            while (open) {
                ReceivedRequest request = read(connection);
                received.add(request);
                open = script.answer(request, connection);
            }
        } catch (IOException | InterruptedException ended) {
            callerGone.countDown();
        }
    }

    private ReceivedRequest read(Socket connection) throws IOException, InterruptedException {
        InputStream stream = connection.getInputStream();
        String line = readLine(stream);
        Map<String, String> headers = new TreeMap<>();
        for (String field = readLine(stream); !field.isEmpty(); field = readLine(stream)) {
            int colon = field.indexOf(':');
            headers.put(
                    field.substring(0, colon).toLowerCase(Locale.ROOT),
                    field.substring(colon + 1).strip());
        }
        script.onHead(new ReceivedRequest(line, headers, new byte[0]), connection);
        int length = Integer.parseInt(headers.getOrDefault("content-length", "0"));
        return new ReceivedRequest(line, headers, stream.readNBytes(length));
    }

    static String readLine(InputStream stream) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        for (int next = stream.read(); next != '\n'; next = stream.read()) {
            if (next < 0) {
                throw new IOException("connection ended");
            }
            if (next != '\r') {
                line.write(next);
            }
        }
        return line.toString(StandardCharsets.UTF_8);
    }

    static void write(Socket connection, String text) throws IOException {
        connection.getOutputStream().write(text.getBytes(StandardCharsets.UTF_8));
        connection.getOutputStream().flush();
    }

    /** Returns a sealed response of a plain service. */
    static String answer(String id, String body) {
        return "HTTP/1.1 200 OK\r\nRequest-Id: " + id + "\r\nAnswer-Seal: seal\r\nContent-Length: " + body.length()
                + "\r\n\r\n" + body;
    }

    /** Returns the head of a sealed event stream with chunked encoding. */
    static String streamHead(String id, String seal) {
        return "HTTP/1.1 200 OK\r\nRequest-Id: " + id + "\r\nAnswer-Seal: " + seal
                + "\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
    }

    static String chunk(String text) {
        return Integer.toHexString(text.length()) + "\r\n" + text + "\r\n";
    }

    /** Ends like a process that crashes: no connection remains open, and none is accepted any more. */
    void crash() throws IOException {
        listener.close();
        try {
            // The host accepts connections until the thread has left its call.
            accepting.join();
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
        for (Socket connection : connections) {
            connection.close();
        }
    }

    boolean hasCrashed() {
        return listener.isClosed();
    }

    @Override
    public void close() throws IOException {
        listener.close();
    }
}
