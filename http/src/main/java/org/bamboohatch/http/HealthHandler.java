package org.bamboohatch.http;

import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.function.BooleanSupplier;

import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;

/** Answers {@code /healthz}, {@code /readyz} and {@code /metrics}. */
public final class HealthHandler extends Handler.Abstract.NonBlocking {

    /** Tells whether the process is ready. */
    private final BooleanSupplier ready;

    /** The metrics. */
    private final PrometheusMeterRegistry metrics;

    /**
     * Creates a handler.
     *
     * @param ready tells whether the process is ready
     * @param metrics the metrics
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
