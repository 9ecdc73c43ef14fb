package org.bamboohatch.standin.plain;

import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.concurrent.ConcurrentSkipListMap;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.locks.LockSupport;

import org.bamboohatch.http.BodyReader;
import org.bamboohatch.http.JsonResponse;
import org.bamboohatch.kernel.outcome.Refusal;
import org.bamboohatch.kernel.outcome.Result;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;

/** A plain service that takes orders and counts how often each one ran. */
final class PlainServer extends Handler.Abstract {

    /** The largest request body, in bytes. */
    private static final long MAX_BODY_BYTES = 1024 * 1024;

    /** Nanoseconds in a millisecond. */
    private static final long NANOS_PER_MS = 1_000_000;

    /** Time that each call takes, in milliseconds. */
    private final long delayMillis;

    /** Runs by the body of the order. */
    private final Map<String, AtomicLong> runs = new ConcurrentSkipListMap<>();

    /** Number of the last order. */
    private final AtomicLong lastNumber = new AtomicLong();

    /**
     * Creates a service.
     *
     * @param delayMillis time that each call takes, in milliseconds
     */
    PlainServer(long delayMillis) {
        this.delayMillis = delayMillis;
    }

    @Override
    public boolean handle(Request request, Response response, Callback callback) {
        String path = Request.getPathInContext(request);
        if (path.equals("/runs")) {
            JsonResponse.write(response, callback, 200, Map.of("runs", runs));
        } else if (path.equals("/healthz")) {
            JsonResponse.write(response, callback, 200, Map.of("status", "alive"));
        } else if (path.startsWith("/stock")) {
            pause();
            JsonResponse.write(response, callback, 200, Map.of("item", path, "crates", path.length()));
        } else if (path.startsWith("/orders")) {
            BodyReader.read(request, MAX_BODY_BYTES).thenAccept(body -> order(body, response, callback));
        } else {
            return false;
        }
        return true;
    }

    /**
     * Takes an order.
     *
     * @param body the order
     * @param response the response
     * @param callback completes the exchange
     */
    private void order(Result<byte[], Refusal> body, Response response, Callback callback) {
        if (body instanceof Result.Success<byte[], Refusal> success) {
            String order = new String(success.value(), StandardCharsets.UTF_8);
            long count = runs.computeIfAbsent(order, added -> new AtomicLong()).incrementAndGet();
            pause();
            JsonResponse.write(response, callback, 201, Map.of("number", lastNumber.incrementAndGet(), "runs", count));
        } else {
            JsonResponse.writeRefusal(response, callback, ((Result.Failure<byte[], Refusal>) body).problem());
        }
    }

    /** Takes the time of a call. */
    private void pause() {
        LockSupport.parkNanos(delayMillis * NANOS_PER_MS);
    }
}
