package bamboohatch.review;

import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;

/** The little of HTTP/1.1 that the stand-ins need. */
final class Http {

    private Http() {}

    /** A head, of a request or of a response. Names of fields are in lower case; of a repeated field the last counts. */
    record Head(String firstLine, Map<String, String> fields) {

        String field(String name) {
            return fields.getOrDefault(name.toLowerCase(java.util.Locale.ROOT), "");
        }

        int status() {
            return Integer.parseInt(firstLine.split(" ")[1]);
        }

        String method() {
            return firstLine.split(" ")[0];
        }

        String path() {
            return firstLine.split(" ")[1];
        }
    }

    /**
     * An answer as its caller sees it.
     *
     * @param status the status, 0 if there was no answer
     * @param complete whether the answer ended as its head says
     * @param end how the answer ended
     */
    record Answer(int status, Map<String, String> fields, String body, boolean complete, String end) {

        String field(String name) {
            return fields.getOrDefault(name.toLowerCase(java.util.Locale.ROOT), "");
        }
    }

    static Head readHead(InputStream in) throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        int state = 0;
        while (state < 4) {
            int read = in.read();
            if (read < 0) {
                throw new EOFException(bytes.size() == 0 ? "closed" : "closed within a head");
            }
            bytes.write(read);
            boolean expected = (state % 2 == 0) ? read == '\r' : read == '\n';
            state = expected ? state + 1 : read == '\r' ? 1 : 0;
        }
        String[] lines = bytes.toString(StandardCharsets.ISO_8859_1).split("\r\n");
        Map<String, String> fields = new LinkedHashMap<>();
        for (int line = 1; line < lines.length; line++) {
            int colon = lines[line].indexOf(':');
            fields.put(
                    lines[line].substring(0, colon).toLowerCase(java.util.Locale.ROOT),
                    lines[line].substring(colon + 1).strip());
        }
        return new Head(lines[0], fields);
    }

    static byte[] readExactly(InputStream in, int length) throws IOException {
        byte[] bytes = in.readNBytes(length);
        if (bytes.length < length) {
            throw new EOFException("closed within a body");
        }
        return bytes;
    }

    private static String readLine(InputStream in) throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        for (int read = in.read(); read != '\n'; read = in.read()) {
            if (read < 0) {
                throw new EOFException("closed within a body");
            }
            bytes.write(read);
        }
        return bytes.toString(StandardCharsets.ISO_8859_1).strip();
    }

    /** Sends one request on a connection of its own and reads the whole answer. */
    static Answer call(String address, byte[] head, byte[] body, int timeoutMillis) {
        Map<String, String> fields = Map.of();
        int status = 0;
        ByteArrayOutputStream received = new ByteArrayOutputStream();
        try (Socket socket = new Socket()) {
            socket.setTcpNoDelay(true);
            socket.connect(address(address), 1_000);
            socket.setSoTimeout(timeoutMillis);
            OutputStream out = socket.getOutputStream();
            out.write(head);
            out.write(body);
            out.flush();
            InputStream in = new java.io.BufferedInputStream(socket.getInputStream());
            Head answer = readHead(in);
            while (answer.status() < 200) {
                answer = readHead(in);
            }
            status = answer.status();
            fields = answer.fields();
            String end = readBody(in, answer, received);
            return new Answer(status, fields, received.toString(StandardCharsets.ISO_8859_1), true, end);
        } catch (IOException failed) {
            return new Answer(
                    status, fields, received.toString(StandardCharsets.ISO_8859_1), false, String.valueOf(failed.getMessage()));
        }
    }

    private static String readBody(InputStream in, Head head, ByteArrayOutputStream received) throws IOException {
        if (head.field("transfer-encoding").equalsIgnoreCase("chunked")) {
            while (true) {
                int length = Integer.parseInt(readLine(in).split(";")[0], 16);
                received.writeBytes(readExactly(in, length));
                readLine(in);
                if (length == 0) {
                    return "last chunk";
                }
            }
        }
        if (!head.field("content-length").isEmpty()) {
            int length = Integer.parseInt(head.field("content-length"));
            while (received.size() < length) {
                int read = in.read();
                if (read < 0) {
                    throw new EOFException("closed within a body");
                }
                received.write(read);
            }
            return "whole length";
        }
        in.transferTo(received);
        return "end of connection";
    }

    static InetSocketAddress address(String text) {
        int colon = text.lastIndexOf(':');
        return new InetSocketAddress(text.substring(0, colon), Integer.parseInt(text.substring(colon + 1)));
    }

    static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.ISO_8859_1);
    }

    /** A call with a body in JSON, as operators and engines make them. */
    static Answer json(String address, String method, String path, String body, int timeoutMillis) {
        byte[] content = bytes(body);
        String head = method + " " + path + " HTTP/1.1\r\nHost: " + address + "\r\nConnection: close\r\n"
                + (content.length == 0 ? "" : "Content-Type: application/json\r\n") + "Content-Length: " + content.length
                + "\r\n\r\n";
        return call(address, bytes(head), content, timeoutMillis);
    }
}
