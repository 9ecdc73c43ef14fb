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

/** Dagger module that provides the shared objects of an entry process. */
@Module
final class EntryModule {

    private static final int NETWORK_THREADS = 2;

    /** Number of timeline events that an entry retains. */
    private static final int TIMELINE_CAPACITY = 16_384;

    private EntryModule() {}

    @Provides
    @Singleton
    static Timeline timeline(EntrySettings settings) {
        return new Timeline(settings.host().value(), TIMELINE_CAPACITY);
    }

    @Provides
    @Singleton
    static Network network(Timeline timeline) {
        return new Network(NETWORK_THREADS, timeline);
    }

    @Provides
    @Singleton
    static ControlCalls control(EntrySettings settings, Network network) {
        return new ControlClient(network, settings.control());
    }

    @Provides
    @Singleton
    static PrometheusMeterRegistry metrics() {
        return new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);
    }
}
