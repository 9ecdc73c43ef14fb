package org.bamboohatch.entry.dispatch;

import javax.inject.Inject;
import javax.inject.Singleton;

import java.util.concurrent.TimeUnit;

import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.Timer;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import org.bamboohatch.entry.request.CallerRequest;
import org.bamboohatch.kernel.event.Timeline;

/** Records what happens to requests in the time line and the metrics. */
@Singleton
public final class RequestEvents {

    /** The time line of the process. */
    private final Timeline timeline;

    /** The metrics. */
    private final PrometheusMeterRegistry metrics;

    /**
     * Creates the records.
     *
     * @param timeline the time line of the process
     * @param metrics the metrics
     */
    @Inject
    public RequestEvents(Timeline timeline, PrometheusMeterRegistry metrics) {
        this.timeline = timeline;
        this.metrics = metrics;
    }

    /**
     * Records an event of a request.
     *
     * @param request the request
     * @param kind what happened
     * @param detail further text
     */
    void record(CallerRequest request, String kind, String detail) {
        timeline.record(request.id().value(), kind, detail, System.currentTimeMillis());
    }

    /**
     * Records the first token of an answer.
     *
     * @param request the request
     * @param now the present time, in milliseconds
     */
    void firstToken(CallerRequest request, long now) {
        record(request, "first-token", "");
        Timer.builder("bamboohatch.first.token")
                .description("Time from arrival to the first part of the answer")
                .tag("service", request.description().service().value())
                .tag("length", request.waiting().lengthClass().label())
                .publishPercentileHistogram()
                .register(metrics)
                .record(now - request.waiting().arrivedAt(), TimeUnit.MILLISECONDS);
    }

    /**
     * Records the end of a request.
     *
     * @param request the request
     * @param outcome how it ended
     */
    void ended(CallerRequest request, String outcome) {
        record(request, "ended", outcome);
        Counter.builder("bamboohatch.requests")
                .description("Ended requests")
                .tag("service", request.description().service().value())
                .tag("outcome", outcome)
                .register(metrics)
                .increment();
    }
}
