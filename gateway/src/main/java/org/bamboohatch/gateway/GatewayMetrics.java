package org.bamboohatch.gateway;

import java.time.Duration;
import java.util.function.Supplier;

import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.FunctionCounter;
import io.micrometer.core.instrument.Gauge;
import io.micrometer.core.instrument.MeterRegistry;
import io.micrometer.core.instrument.Timer;
import org.bamboohatch.kernel.id.ServiceName;
import org.bamboohatch.routing.LengthClass;
import org.bamboohatch.routing.fleet.Demand;

/**
 * Counters, gauges and histograms of a gateway. Labels are length classes, outcomes, error codes, reasons and
 * services only, so that the number of time series does not grow with the number of client accounts.
 */
public final class GatewayMetrics {

    private static final String LENGTH_LABEL = "length";

    /** Length label of requests without a prompt. */
    private static final String PLAIN_LENGTH = "plain";

    /** Bucket boundaries of all histograms. */
    private static final Duration[] BUCKETS = {
        Duration.ofMillis(30),
        Duration.ofMillis(60),
        Duration.ofMillis(120),
        Duration.ofMillis(300),
        Duration.ofMillis(600),
        Duration.ofMillis(1_500),
        Duration.ofMillis(3_000),
        Duration.ofMillis(10_000)
    };

    private final MeterRegistry registry;

    /**
     * Creates metrics that are registered on first use.
     *
     * @param registry registry of the process
     */
    public GatewayMetrics(MeterRegistry registry) {
        this.registry = registry;
    }

    /**
     * Records that the head of a response was sent.
     *
     * @param demand demand of the request, which determines its length label
     * @param timeToFirstByteMillis time since the arrival of the request, in milliseconds
     */
    public void recordFirstByte(Demand demand, long timeToFirstByteMillis) {
        Timer.builder("gateway.first")
                .description("time until an answer begins")
                .serviceLevelObjectives(BUCKETS)
                .tag(LENGTH_LABEL, lengthLabel(demand))
                .register(registry)
                .record(Duration.ofMillis(timeToFirstByteMillis));
    }

    /**
     * Records the end of an admitted request.
     *
     * @param demand demand of the request, which determines its length label
     * @param outcome value of the outcome label
     * @param durationMillis time since the arrival of the request, in milliseconds
     * @param longestInterTokenMillis longest interval between two events of the response, in milliseconds; recorded for
     *     generations only
     */
    public void recordEnd(Demand demand, String outcome, long durationMillis, long longestInterTokenMillis) {
        String length = lengthLabel(demand);
        Timer.builder("gateway.requests")
                .description("time until a request has ended")
                .serviceLevelObjectives(BUCKETS)
                .tag(LENGTH_LABEL, length)
                .tag("outcome", outcome)
                .register(registry)
                .record(Duration.ofMillis(durationMillis));
        if (demand.isGeneration()) {
            Timer.builder("gateway.pauses")
                    .description("longest pause between two events of a stream")
                    .serviceLevelObjectives(BUCKETS)
                    .tag(LENGTH_LABEL, length)
                    .register(registry)
                    .record(Duration.ofMillis(longestInterTokenMillis));
        }
    }

    /**
     * Counts a request that was rejected before it was placed.
     *
     * @param code code of the error, as sent to the caller
     */
    public void recordRejection(String code) {
        Counter.builder("gateway.turned.away")
                .description("requests that were turned away by the configuration")
                .tag("code", code)
                .register(registry)
                .increment();
    }

    /**
     * Records how long a request has waited at the gateway before it was sent or ended.
     *
     * @param demand demand of the request, which determines its length label
     * @param waitedMillis time since the arrival of the request, in milliseconds
     */
    public void recordWait(Demand demand, long waitedMillis) {
        Timer.builder("gateway.waited")
                .description("time for which requests waited until engines could begin them")
                .serviceLevelObjectives(BUCKETS)
                .tag(LENGTH_LABEL, lengthLabel(demand))
                .register(registry)
                .record(Duration.ofMillis(waitedMillis));
    }

    /**
     * Counts a request that was refused because of the load of the engines.
     *
     * @param reason label of the reason
     */
    public void recordOverload(String reason) {
        Counter.builder("gateway.overloaded")
                .description("requests that were refused because of the load of the engines")
                .tag("reason", reason)
                .register(registry)
                .increment();
    }

    /**
     * Registers a gauge of the waiting requests of a service.
     *
     * @param service name of the service
     * @param value returns the current number
     */
    public void registerWaiting(ServiceName service, Supplier<Number> value) {
        Gauge.builder("gateway.waiting", value)
                .description("requests that wait until engines can begin them")
                .tag("service", service.value())
                .register(registry);
    }

    /** Counts a retry that was charged to a retry budget. */
    public void recordRetry() {
        Counter.builder("gateway.repeats")
                .description("requests that were sent again")
                .register(registry)
                .increment();
    }

    /**
     * Registers a gauge.
     *
     * @param name name of the metric
     * @param description description of the metric
     * @param value returns the current value
     */
    public void registerGauge(String name, String description, Supplier<Number> value) {
        Gauge.builder(name, value).description(description).register(registry);
    }

    /**
     * Registers a counter that is kept elsewhere.
     *
     * @param name name of the metric
     * @param description description of the metric
     * @param reason value of the reason label
     * @param value returns the current value, which never decreases
     */
    public void registerCounter(String name, String description, String reason, Supplier<Number> value) {
        FunctionCounter.builder(name, value, supplier -> supplier.get().doubleValue())
                .description(description)
                .tag("reason", reason)
                .register(registry);
    }

    /**
     * Returns the length label of a request.
     *
     * @param demand demand of the request
     * @return the label of the length class of the prompt, or {@link #PLAIN_LENGTH}
     */
    private static String lengthLabel(Demand demand) {
        return demand.isGeneration() ? LengthClass.of(demand.promptTokens()).label() : PLAIN_LENGTH;
    }
}
