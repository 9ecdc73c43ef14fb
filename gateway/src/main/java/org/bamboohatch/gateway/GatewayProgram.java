package org.bamboohatch.gateway;

import javax.inject.Inject;
import javax.inject.Singleton;

import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import io.netty.channel.EventLoop;
import org.bamboohatch.document.fleet.CallerLimits;
import org.bamboohatch.gateway.buffer.GatewayBuffers;
import org.bamboohatch.gateway.configuration.EvacuationObserver;
import org.bamboohatch.gateway.configuration.FleetStore;
import org.bamboohatch.gateway.configuration.FleetView;
import org.bamboohatch.gateway.configuration.RouteTable;
import org.bamboohatch.gateway.forward.DrainSchedule;
import org.bamboohatch.gateway.forward.Forwarder;
import org.bamboohatch.gateway.forward.RequestDrain;
import org.bamboohatch.gateway.http.CallerServer;
import org.bamboohatch.gateway.http.ReadinessServer;
import org.bamboohatch.gateway.load.LoadExchange;
import org.bamboohatch.gateway.load.QuarantineRecorder;
import org.bamboohatch.kernel.service.Service;
import org.bamboohatch.protocol.transport.Network;

/**
 * Starts and stops the parts of a gateway process. A stop first lets load balancers remove the gateway and requests in
 * progress end.
 */
@Singleton
public final class GatewayProgram implements Service {

    private final GatewaySettings settings;

    private final Network network;

    /** The event loop that serves all callers. */
    private final EventLoop loop;

    private final FleetStore store;

    private final Forwarder forwarder;

    private final LoadExchange exchange;

    private final QuarantineRecorder recorder;

    private final CallerServer callers;

    private final ReadinessServer readiness;

    private final EvacuationObserver evacuations = new EvacuationObserver();

    private volatile boolean stopping;

    /**
     * Creates a program without starting it, and registers its gauges.
     *
     * @param settings settings of this gateway
     * @param network the network for the frame protocol
     * @param loop the event loop that serves all callers
     * @param store this gateway's copy of the configuration and the membership
     * @param forwarder handles the requests of callers
     * @param buffers memory of the requests and responses
     * @param exchange exchanges load reports with other gateways
     * @param recorder has control record the evidence against requests that end targets
     * @param registry registry whose metrics the readiness server exposes
     * @param metrics counters, gauges and histograms of this gateway
     */
    @Inject
    public GatewayProgram(
            GatewaySettings settings,
            Network network,
            EventLoop loop,
            FleetStore store,
            Forwarder forwarder,
            GatewayBuffers buffers,
            LoadExchange exchange,
            QuarantineRecorder recorder,
            PrometheusMeterRegistry registry,
            GatewayMetrics metrics) {
        this.settings = settings;
        this.network = network;
        this.loop = loop;
        this.store = store;
        this.forwarder = forwarder;
        this.exchange = exchange;
        this.recorder = recorder;
        this.callers = new CallerServer(Network.parse(settings.listen()), loop, forwarder, this::callerLimits, buffers);
        this.readiness = new ReadinessServer(Network.parse(settings.readiness()), loop, this::isReady, registry);
        metrics.registerGauge(
                "gateway.buffered.requests", "bytes of request bodies in progress", buffers.requests()::heldBytes);
        metrics.registerGauge(
                "gateway.buffered.responses",
                "bytes of responses that are incomplete or that callers have not read",
                buffers.responses()::heldBytes);
        metrics.registerGauge("gateway.open", "requests under way", forwarder::openRequests);
        metrics.registerGauge(
                "gateway.configuration.age",
                "milliseconds since the configuration was the newest for certain",
                () -> store.ageMillis(GatewayClock.read()));
        metrics.registerGauge(
                "gateway.configuration.version", "version of the configuration in force", () -> store.view()
                        .configurationVersion());
        metrics.registerGauge(
                "gateway.quarantined",
                "prompt parts and requests that are kept from targets",
                forwarder::quarantinedTraits);
        metrics.registerGauge(
                "gateway.evacuated.zones",
                "availability zones to whose targets nothing new is sent",
                evacuations::evacuatedZones);
        metrics.registerGauge("gateway.cold", "targets whose rate is limited as they are cold", forwarder::coldTargets);
        metrics.registerCounter(
                "gateway.held.off", "placements that left out a target", "cold", forwarder::heldOffByCold);
        metrics.registerGauge("gateway.ramps", "targets whose concurrency is limited", forwarder::rampedTargets);
        metrics.registerCounter(
                "gateway.held.off", "placements that left out a target", "ramp", forwarder::heldOffByRamps);
        metrics.registerGauge("gateway.targets", "targets that take work", () -> store.view()
                .targets()
                .size());
    }

    private CallerLimits callerLimits() {
        return store.view().routeTable().map(RouteTable::limits).orElse(CallerLimits.DEFAULT);
    }

    /**
     * Indicates whether load balancers should send requests to this gateway.
     *
     * @return whether a fresh configuration is known and the gateway is not stopping
     */
    private boolean isReady() {
        return !stopping
                && store.view().routeTable().isPresent()
                && store.ageMillis(GatewayClock.read()) < settings.freshnessMillis();
    }

    @Override
    public void start() {
        network.start();
        store.onEvidence(evidence -> loop.execute(() -> recorder.apply(evidence, GatewayClock.now())));
        store.onChange(view -> loop.execute(() -> apply(view)));
        exchange.start();
        recorder.start();
        callers.start();
        readiness.start();
        store.start();
    }

    private void apply(FleetView view) {
        forwarder.apply(view);
        evacuations.accept(view);
        exchange.apply(view.gateways());
    }

    @Override
    public void stop() {
        stopping = true;
        new RequestDrain(loop, forwarder, callers, DrainSchedule.within(settings.stopMillis())).run();
        store.stop();
        recorder.stop();
        callers.stop();
        readiness.stop();
        exchange.stop();
        network.stop();
    }
}
