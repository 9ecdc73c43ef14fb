package org.bamboohatch.http;

import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.function.BooleanSupplier;

import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;

/** Serves {@code /healthz}, {@code /readyz} and {@code /metrics}; leaves all other paths to the next handler. */
public final class HealthHandler extends Handler.Abstract.NonBlocking {

    private final BooleanSupplier ready;

    private final PrometheusMeterRegistry metrics;

    /**
     * Creates a handler for the health and metrics endpoints.
     *
     * @param ready indicates whether the process is ready; queried for each request to {@code /readyz}
     * @param metrics registry whose metrics are exposed in the Prometheus text format
     */
    public HealthHandler(BooleanSupplier ready, PrometheusMeterRegistry metrics) {
        this.ready = ready;
        this.metrics = metrics;
    }

    @Override
    public boolean handle(Request request, Response response, Callback callback) {
        switch (Request.getPathInContext(request)) {
            case "/healthz" -> JsonResponse.write(response, callback, 200, Map.of("status", "alive"));
            case "/readyz" -> {
                boolean isReady = ready.getAsBoolean();
                JsonResponse.write(response, callback, isReady ? 200 : 503, Map.of("ready", isReady));
            }
            case "/metrics" ->
                JsonResponse.write(
                        response,
                        callback,
                        200,
                        "text/plain; version=0.0.4; charset=utf-8",
                        metrics.scrape().getBytes(StandardCharsets.UTF_8));
            default -> {
                return false;
            }
        }
        return true;
    }
}
