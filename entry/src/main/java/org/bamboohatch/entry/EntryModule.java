package org.bamboohatch.entry;

import javax.inject.Singleton;

import dagger.Module;
import dagger.Provides;
import io.micrometer.prometheusmetrics.PrometheusConfig;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import org.bamboohatch.kernel.event.Timeline;
import org.bamboohatch.protocol.client.ControlCalls;
import org.bamboohatch.protocol.client.ControlClient;
import org.bamboohatch.protocol.transport.Network;

/** Provides what an entry is made of. */
@Module
final class EntryModule {

    /** Network threads of an entry. */
    private static final int NETWORK_THREADS = 2;

    /** Events kept by an entry. */
    private static final int TIMELINE_CAPACITY = 16_384;

    /** Not instantiated. */
    private EntryModule() {}

    /**
     * Provides the time line.
     *
     * @param settings the settings
     * @return the time line
     */
    @Provides
    @Singleton
    static Timeline timeline(EntrySettings settings) {
        return new Timeline(settings.host().value(), TIMELINE_CAPACITY);
    }

    /**
     * Provides the network threads.
     *
     * @param timeline the time line
     * @return the network
     */
    @Provides
    @Singleton
    static Network network(Timeline timeline) {
        return new Network(NETWORK_THREADS, timeline);
    }

    /**
     * Provides the client of the control processes.
     *
     * @param settings the settings
     * @param network the network threads
     * @return the client
     */
    @Provides
    @Singleton
    static ControlCalls control(EntrySettings settings, Network network) {
        return new ControlClient(network, settings.control());
    }

    /**
     * Provides the metrics.
     *
     * @return the registry
     */
    @Provides
    @Singleton
    static PrometheusMeterRegistry metrics() {
        return new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);
    }
}
