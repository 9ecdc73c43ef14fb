package org.bamboohatch.gateway;

import javax.inject.Singleton;

import java.time.Duration;

import dagger.Module;
import dagger.Provides;
import io.micrometer.prometheusmetrics.PrometheusConfig;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import org.bamboohatch.gateway.configuration.FleetStore;
import org.bamboohatch.gateway.forward.Forwarder;
import org.bamboohatch.gateway.load.LoadExchange;
import org.bamboohatch.gateway.load.LoadTracker;
import org.bamboohatch.kernel.event.Timeline;
import org.bamboohatch.protocol.client.ControlClient;
import org.bamboohatch.protocol.transport.Network;

/** Provides what a gateway is made of. */
@Module
final class GatewayModule {

    /** Network threads for frames. */
    private static final int NETWORK_THREADS = 1;

    /** Events kept by a gateway. */
    private static final int TIMELINE_CAPACITY = 1_024;

    /** Time for one poll of a control process: its hold and a journey between zones. */
    private static final Duration POLL_TRY = Duration.ofMillis(900);

    /** Not instantiated. */
    private GatewayModule() {}

    /**
     * Provides the network threads for frames.
     *
     * @param settings the settings
     * @return the network
     */
    @Provides
    @Singleton
    static Network network(GatewaySettings settings) {
        return new Network(NETWORK_THREADS, new Timeline(settings.host().value(), TIMELINE_CAPACITY));
    }

    /**
     * Provides the thread of all callers.
     *
     * @return the thread
     */
    @Provides
    @Singleton
    static EventLoop loop() {
        return (EventLoop) new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory()).next();
    }

    /**
     * Provides the client of control.
     *
     * @param settings the settings
     * @param network the network threads
     * @return the client
     */
    @Provides
    @Singleton
    static ControlClient control(GatewaySettings settings, Network network) {
        return new ControlClient(network, settings.control(), POLL_TRY);
    }

    /**
     * Provides the tracker of the targets' load.
     *
     * @return the tracker
     */
    @Provides
    @Singleton
    static LoadTracker loadTracker() {
        return new LoadTracker();
    }

    /**
     * Provides the forwarder.
     *
     * @param settings the settings
     * @param dialect names of the header fields
     * @param loop the thread of all callers
     * @param store the gateway's copy of the configuration
     * @param loadTracker load of the targets
     * @param metrics counters and histograms
     * @return the forwarder
     */
    @Provides
    @Singleton
    static Forwarder forwarder(
            GatewaySettings settings,
            Dialect dialect,
            EventLoop loop,
            FleetStore store,
            LoadTracker loadTracker,
            GatewayMetrics metrics) {
        return new Forwarder(settings, dialect, loop, store, loadTracker, metrics);
    }

    /**
     * Provides the exchange of load reports.
     *
     * @param settings the settings
     * @param loadTracker load of the targets
     * @param loop the thread of all callers
     * @param network the network threads
     * @return the exchange
     */
    @Provides
    @Singleton
    static LoadExchange exchange(GatewaySettings settings, LoadTracker loadTracker, EventLoop loop, Network network) {
        return new LoadExchange(settings, loadTracker, loop, network);
    }

    /**
     * Provides the counters and histograms.
     *
     * @param registry the registry
     * @return the metrics
     */
    @Provides
    @Singleton
    static GatewayMetrics gatewayMetrics(PrometheusMeterRegistry registry) {
        return new GatewayMetrics(registry);
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
