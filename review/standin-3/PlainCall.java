import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

/** One HTTP/1.1 call on a connection of its own, which is closed at its end, also when the caller gives up. */
final class PlainCall {

    private PlainCall() {}

    /**
     * An answer.
     *
     * @param status status of the answer
     * @param headers header fields by their names in lower case
     * @param body body of the answer
     */
    record Answer(int status, Map<String, String> headers, byte[] body) {}

    static Answer send(
            String method,
            String address,
            String path,
            Map<String, String> headers,
            String body,
            long timeoutMillis)
            throws IOException {
        int colon = address.indexOf(':');
        try (Socket socket = new Socket()) {
            socket.connect(
                    new InetSocketAddress(address.substring(0, colon), Integer.parseInt(address.substring(colon + 1))),
                    (int) timeoutMillis);
            socket.setSoTimeout((int) timeoutMillis);
            StringBuilder head = new StringBuilder(method + " " + path + " HTTP/1.1\r\n");
            if (!headers.containsKey("Host")) {
                head.append("Host: ").append(address).append("\r\n");
            }
            headers.forEach((name, value) -> head.append(name).append(": ").append(value).append("\r\n"));
            byte[] bytes = body == null ? new byte[0] : body.getBytes(StandardCharsets.UTF_8);
            if (body != null || method.equals("POST")) {
                head.append("Content-Length: ").append(bytes.length).append("\r\n");
            }
            ByteArrayOutputStream request = new ByteArrayOutputStream();
            request.writeBytes((head + "\r\n").getBytes(StandardCharsets.US_ASCII));
            request.writeBytes(bytes);
            socket.getOutputStream().write(request.toByteArray());
            return read(new BufferedInputStream(socket.getInputStream()));
        }
    }

    private static Answer read(InputStream input) throws IOException {
        int status = Integer.parseInt(line(input).split(" ")[1]);
        Map<String, String> headers = new TreeMap<>();
        for (String field = line(input); !field.isEmpty(); field = line(input)) {
            int colon = field.indexOf(':');
            headers.put(
                    field.substring(0, colon).toLowerCase(Locale.ROOT), field.substring(colon + 1).strip());
        }
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        if (headers.containsKey("content-length")) {
            int length = Integer.parseInt(headers.get("content-length"));
            body.writeBytes(exactly(input, length));
        } else if ("chunked".equals(headers.get("transfer-encoding"))) {
            for (int length = Integer.parseInt(line(input), 16); length > 0;
                    length = Integer.parseInt(line(input), 16)) {
                body.writeBytes(exactly(input, length));
                line(input);
            }
        }
        return new Answer(status, headers, body.toByteArray());
    }

    private static byte[] exactly(InputStream input, int length) throws IOException {
        byte[] bytes = input.readNBytes(length);
        if (bytes.length < length) {
            throw new EOFException("the answer is incomplete");
        }
        return bytes;
    }

    static String line(InputStream input) throws IOException {
        StringBuilder line = new StringBuilder();
        for (int next = input.read(); next != '\n'; next = input.read()) {
            if (next < 0) {
                throw new EOFException("the connection has ended");
            }
            if (next != '\r') {
                line.append((char) next);
            }
        }
        return line.toString();
    }
}
