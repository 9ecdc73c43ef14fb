package org.bamboohatch.gateway;

import java.time.Duration;
import java.util.function.Supplier;

import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.Gauge;
import io.micrometer.core.instrument.MeterRegistry;
import io.micrometer.core.instrument.Timer;
import org.bamboohatch.routing.LengthClass;
import org.bamboohatch.routing.fleet.Demand;

/** Counters and histograms of a gateway. Labels are classes and outcomes, whose number does not grow with accounts. */
public final class GatewayMetrics {

    /** Label of the length class. */
    private static final String LENGTH = "length";

    /** Length of a request without a prompt. */
    private static final String PLAIN = "plain";

    /** Bounds of the histograms of the time until an answer begins. */
    private static final Duration[] FIRST_BOUNDS = {
        Duration.ofMillis(30),
        Duration.ofMillis(60),
        Duration.ofMillis(120),
        Duration.ofMillis(300),
        Duration.ofMillis(600),
        Duration.ofMillis(1_500),
        Duration.ofMillis(3_000),
        Duration.ofMillis(10_000)
    };

    /** The registry. */
    private final MeterRegistry registry;

    /**
     * Creates the metrics.
     *
     * @param registry the registry
     */
    public GatewayMetrics(MeterRegistry registry) {
        this.registry = registry;
    }

    /**
     * Takes note of the beginning of an answer.
     *
     * @param demand what the request asked
     * @param firstMillis time since its arrival, in milliseconds
     */
    public void recordFirstByte(Demand demand, long firstMillis) {
        Timer.builder("gateway.first")
                .description("time until an answer begins")
                .serviceLevelObjectives(FIRST_BOUNDS)
                .tag(LENGTH, length(demand))
                .register(registry)
                .record(Duration.ofMillis(firstMillis));
    }

    /**
     * Takes note of the end of a request.
     *
     * @param demand what the request asked
     * @param outcome how it ended
     * @param tookMillis time since its arrival, in milliseconds
     * @param pauseMillis longest pause between two events, in milliseconds
     */
    public void recordEnd(Demand demand, String outcome, long tookMillis, long pauseMillis) {
        String length = length(demand);
        Timer.builder("gateway.requests")
                .description("time until a request has ended")
                .serviceLevelObjectives(FIRST_BOUNDS)
                .tag(LENGTH, length)
                .tag("outcome", outcome)
                .register(registry)
                .record(Duration.ofMillis(tookMillis));
        if (demand.isGeneration()) {
            Timer.builder("gateway.pauses")
                    .description("longest pause between two events of a stream")
                    .serviceLevelObjectives(FIRST_BOUNDS)
                    .tag(LENGTH, length)
                    .register(registry)
                    .record(Duration.ofMillis(pauseMillis));
        }
    }

    /**
     * Takes note of a request that was turned away before it had a place.
     *
     * @param code code of the error
     */
    public void recordRejection(String code) {
        Counter.builder("gateway.turned.away")
                .description("requests that were turned away by the configuration")
                .tag("code", code)
                .register(registry)
                .increment();
    }

    /** Takes note of a repeated send. */
    public void recordRetry() {
        Counter.builder("gateway.repeats")
                .description("requests that were sent again")
                .register(registry)
                .increment();
    }

    /**
     * Shows a number that changes.
     *
     * @param name its name
     * @param description what it tells
     * @param value reads it
     */
    public void registerGauge(String name, String description, Supplier<Number> value) {
        Gauge.builder(name, value).description(description).register(registry);
    }

    /**
     * Names the length class of a request.
     *
     * @param demand what the request asked
     * @return the name
     */
    private static String length(Demand demand) {
        return demand.isGeneration() ? LengthClass.of(demand.promptTokens()).label() : PLAIN;
    }
}
