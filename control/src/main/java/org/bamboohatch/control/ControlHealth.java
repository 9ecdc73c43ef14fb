package org.bamboohatch.control;

import java.util.function.BooleanSupplier;
import java.util.function.IntSupplier;

import io.micrometer.core.instrument.Gauge;
import io.micrometer.prometheusmetrics.PrometheusConfig;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;

/** Readiness and metrics of a control process. */
public final class ControlHealth {

    private final PrometheusMeterRegistry metrics = new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);

    private final BooleanSupplier ready;

    /**
     * Creates the health of a process.
     *
     * @param ready whether the process knows the leader of the replication group
     * @param voters number of voters that the process knows
     * @param desiredVoters number of voters that the configured tolerance needs, zero if none is configured
     * @param missingBootstrapAnswers number of answers that the bootstrap of a group lacks
     */
    public ControlHealth(
            BooleanSupplier ready, IntSupplier voters, int desiredVoters, IntSupplier missingBootstrapAnswers) {
        this.ready = ready;
        Gauge.builder("control.leader.known", () -> ready.getAsBoolean() ? 1 : 0)
                .description("whether the process knows the leader")
                .register(metrics);
        Gauge.builder("control.voters", voters::getAsInt)
                .description("voters of the replication group")
                .register(metrics);
        Gauge.builder("control.voters.desired", () -> desiredVoters)
                .description("voters that the configured tolerance needs")
                .register(metrics);
        Gauge.builder("control.bootstrap.missing.answers", missingBootstrapAnswers::getAsInt)
                .description("configured peers whose answers the bootstrap of a replication group lacks")
                .register(metrics);
    }

    /**
     * Indicates whether the process knows the leader; may be called by any thread.
     *
     * @return whether it is ready
     */
    public boolean isReady() {
        return ready.getAsBoolean();
    }

    /**
     * Returns the metrics of the process.
     *
     * @return the registry, for an HTTP server
     */
    public PrometheusMeterRegistry metrics() {
        return metrics;
    }
}
