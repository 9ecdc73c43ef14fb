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

/** HTTP interface of the stand-in plain service, which accepts orders and counts how often each of them ran. */
final class PlainServer extends Handler.Abstract {

    private static final long MAX_BODY_BYTES = 1024 * 1024;

    private static final long NANOS_PER_MS = 1_000_000;

    private final long delayMillis;

    /** Number of runs by request body of the order. */
    private final Map<String, AtomicLong> runs = new ConcurrentSkipListMap<>();

    private final AtomicLong lastOrderNumber = new AtomicLong();

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
            simulateProcessing();
            JsonResponse.write(response, callback, 200, Map.of("item", path, "crates", path.length()));
        } else if (path.startsWith("/orders")) {
            BodyReader.read(request, MAX_BODY_BYTES).thenAccept(body -> handleOrder(body, response, callback));
        } else {
            return false;
        }
        return true;
    }

    /**
     * Counts a run of an order and answers with its number and count.
     *
     * @param body the request body, or the refusal of one that could not be read
     * @param response the response
     * @param callback callback of the HTTP exchange
     */
    private void handleOrder(Result<byte[], Refusal> body, Response response, Callback callback) {
        if (body instanceof Result.Success<byte[], Refusal> success) {
            String order = new String(success.value(), StandardCharsets.UTF_8);
            long count = runs.computeIfAbsent(order, added -> new AtomicLong()).incrementAndGet();
            simulateProcessing();
            JsonResponse.write(
                    response, callback, 201, Map.of("number", lastOrderNumber.incrementAndGet(), "runs", count));
        } else {
            JsonResponse.writeRefusal(response, callback, ((Result.Failure<byte[], Refusal>) body).problem());
        }
    }

    /** Waits for the configured processing time. */
    private void simulateProcessing() {
        LockSupport.parkNanos(delayMillis * NANOS_PER_MS);
    }
}
