package org.bamboohatch.entry.dispatch;

import javax.inject.Inject;
import javax.inject.Singleton;

import java.util.concurrent.TimeUnit;

import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.Timer;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import org.bamboohatch.entry.request.CallerRequest;
import org.bamboohatch.kernel.event.Timeline;

/** Records the progress of requests in the timeline and in the metrics. */
@Singleton
public final class RequestEvents {

    private final Timeline timeline;

    private final PrometheusMeterRegistry metrics;

    /**
     * Creates a recorder for the requests of a process.
     *
     * @param timeline the timeline of the process
     * @param metrics registry of the process's metrics
     */
    @Inject
    public RequestEvents(Timeline timeline, PrometheusMeterRegistry metrics) {
        this.timeline = timeline;
        this.metrics = metrics;
    }

    /**
     * Records an event of a request in the timeline.
     *
     * @param request subject of the event
     * @param kind kind of the event
     * @param detail additional text, which may be empty
     */
    void record(CallerRequest request, String kind, String detail) {
        timeline.record(request.id().value(), kind, detail, System.currentTimeMillis());
    }

    /**
     * Records the first output of a response and the time since the arrival of the request.
     *
     * @param request the request
     * @param now current monotonic time, in milliseconds
     */
    void recordFirstToken(CallerRequest request, long now) {
        record(request, "first-token", "");
        Timer.builder("bamboohatch.first.token")
                .description("Time from arrival to the first part of the answer")
                .tag("service", request.description().service().value())
                .tag("length", request.routingView().lengthClass().label())
                .publishPercentileHistogram()
                .register(metrics)
                .record(now - request.routingView().arrivedAt(), TimeUnit.MILLISECONDS);
    }

    /**
     * Records the end of a request.
     *
     * @param request the request
     * @param outcome value of the metric label {@code outcome} and detail of the event
     */
    void recordEnd(CallerRequest request, String outcome) {
        record(request, "ended", outcome);
        Counter.builder("bamboohatch.requests")
                .description("Ended requests")
                .tag("service", request.description().service().value())
                .tag("outcome", outcome)
                .register(metrics)
                .increment();
    }
}
