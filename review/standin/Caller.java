package bamboohatch.review;

import java.util.Locale;
import java.util.concurrent.atomic.AtomicLong;

/** A client. Each request has an id and a connection of its own. */
final class Caller {

    private static final AtomicLong IDS = new AtomicLong(System.nanoTime() << 16);

    private Caller() {}

    static String newId() {
        return String.format(Locale.ROOT, "%016x", IDS.incrementAndGet());
    }

    static Http.Answer send(
            Deployment deployment,
            int machine,
            String id,
            String method,
            String path,
            String key,
            int deadlineMillis,
            String more,
            byte[] body) {
        String head = method + " " + path + " HTTP/1.1\r\nHost: " + Configurations.HOST + "\r\nX-Bamboohatch-Request-Id: "
                + id + "\r\nX-Bamboohatch-Deadline-Ms: " + deadlineMillis + "\r\n"
                + (key == null ? "" : "X-Bamboohatch-Key: " + key + "\r\n") + more
                + (body.length == 0 ? "" : "Content-Length: " + body.length + "\r\n") + "\r\n";
        return Http.call(deployment.front(machine), Http.bytes(head), body, deadlineMillis + 2_000);
    }
}
