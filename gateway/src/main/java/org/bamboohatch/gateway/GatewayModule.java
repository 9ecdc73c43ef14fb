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
import org.bamboohatch.gateway.buffer.GatewayBuffers;
import org.bamboohatch.gateway.configuration.FleetStore;
import org.bamboohatch.gateway.forward.Forwarder;
import org.bamboohatch.gateway.load.ExchangedState;
import org.bamboohatch.gateway.load.LoadExchange;
import org.bamboohatch.gateway.load.QuarantineRecorder;
import org.bamboohatch.kernel.event.Timeline;
import org.bamboohatch.protocol.client.ControlClient;
import org.bamboohatch.protocol.transport.Network;

/** Provides the parts of a gateway. */
@Module
final class GatewayModule {

    /** Threads for connections to control and to other gateways. */
    private static final int NETWORK_THREADS = 1;

    /** Number of events that the timeline retains. */
    private static final int TIMELINE_CAPACITY = 1_024;

    /** Timeout of one poll of a control process: the time for which control holds it and a round trip between zones. */
    private static final Duration POLL_ATTEMPT_TIMEOUT = Duration.ofMillis(900);

    private GatewayModule() {}

    @Provides
    @Singleton
    static Network network(GatewaySettings settings) {
        return new Network(NETWORK_THREADS, new Timeline(settings.host().value(), TIMELINE_CAPACITY));
    }

    /**
     * Provides the event loop that serves all callers. There is only one, so state that is confined to it needs no locks.
     *
     * @return the event loop
     */
    @Provides
    @Singleton
    static EventLoop callerLoop() {
        return (EventLoop) new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory()).next();
    }

    @Provides
    @Singleton
    static ControlClient controlClient(GatewaySettings settings, Network network) {
        return new ControlClient(network, settings.control(), POLL_ATTEMPT_TIMEOUT);
    }

    @Provides
    @Singleton
    static ExchangedState exchangedState(GatewaySettings settings) {
        return ExchangedState.empty(settings);
    }

    @Provides
    @Singleton
    static Forwarder forwarder(
            GatewaySettings settings,
            Dialect dialect,
            EventLoop loop,
            FleetStore store,
            ExchangedState state,
            GatewayBuffers buffers,
            GatewayMetrics metrics) {
        return new Forwarder(settings, dialect, loop, store, state, buffers, metrics);
    }

    @Provides
    @Singleton
    static GatewayBuffers gatewayBuffers() {
        return GatewayBuffers.ofHeap(Runtime.getRuntime().maxMemory());
    }

    @Provides
    @Singleton
    static LoadExchange loadExchange(GatewaySettings settings, ExchangedState state, EventLoop loop) {
        return new LoadExchange(settings, state, loop);
    }

    @Provides
    @Singleton
    static QuarantineRecorder quarantineRecorder(ExchangedState state, ControlClient control, EventLoop loop) {
        return new QuarantineRecorder(state.quarantine(), control, loop);
    }

    @Provides
    @Singleton
    static GatewayMetrics gatewayMetrics(PrometheusMeterRegistry registry) {
        return new GatewayMetrics(registry);
    }

    @Provides
    @Singleton
    static PrometheusMeterRegistry meterRegistry() {
        return new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);
    }
}
