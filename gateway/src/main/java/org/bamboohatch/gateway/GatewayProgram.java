package org.bamboohatch.gateway;

import javax.inject.Inject;
import javax.inject.Singleton;

import java.util.concurrent.TimeUnit;

import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import io.netty.channel.EventLoop;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.bamboohatch.document.fleet.CallerLimits;
import org.bamboohatch.gateway.configuration.FleetStore;
import org.bamboohatch.gateway.configuration.FleetView;
import org.bamboohatch.gateway.configuration.RouteTable;
import org.bamboohatch.gateway.forward.Forwarder;
import org.bamboohatch.gateway.http.CallerServer;
import org.bamboohatch.gateway.http.ReadinessServer;
import org.bamboohatch.gateway.load.LoadExchange;
import org.bamboohatch.kernel.service.Service;
import org.bamboohatch.protocol.transport.FrameServer;
import org.bamboohatch.protocol.transport.Network;

/** A gateway process: starts its parts and stops them without cutting off a request. */
@Singleton
public final class GatewayProgram implements Service {

    /** Logger of this part. */
    private static final Logger LOGGER = LogManager.getLogger(GatewayProgram.class);

    /** Time in which a balancer surely stops to send new connections to a gateway that is not ready, in milliseconds. */
    private static final long ROTATION_MS = 2_500;

    /** Time after the signal to stop until which requests are let in, in milliseconds. */
    private static final long LAST_ADMISSION_MS = 2_800;

    /** Interval at which a stopping gateway looks whether it is done, in milliseconds. */
    private static final long STOP_INTERVAL_MS = 100;

    /** Time for which a connection is idle before a stopping gateway closes it, in milliseconds. */
    private static final long STOP_IDLE_MS = 300;

    /** The settings. */
    private final GatewaySettings settings;

    /** The network threads. */
    private final Network network;

    /** The thread of all callers. */
    private final EventLoop loop;

    /** The gateway's copy of the configuration. */
    private final FleetStore store;

    /** Forwards requests. */
    private final Forwarder forwarder;

    /** CallerRequestHandler load reports. */
    private final LoadExchange exchange;

    /** Listens for load reports. */
    private final FrameServer reports;

    /** Listens for callers. */
    private final CallerServer callers;

    /** Answers whether the gateway is ready. */
    private final ReadinessServer readiness;

    /** Whether the process is stopping. */
    private volatile boolean stopping;

    /**
     * Creates a program.
     *
     * @param settings the settings
     * @param network the network threads
     * @param loop the thread of all callers
     * @param store the gateway's copy of the configuration
     * @param forwarder forwards requests
     * @param exchange exchanges load reports
     * @param registry the registry of the metrics
     * @param metrics counters and histograms
     */
    @Inject
    public GatewayProgram(
            GatewaySettings settings,
            Network network,
            EventLoop loop,
            FleetStore store,
            Forwarder forwarder,
            LoadExchange exchange,
            PrometheusMeterRegistry registry,
            GatewayMetrics metrics) {
        this.settings = settings;
        this.network = network;
        this.loop = loop;
        this.store = store;
        this.forwarder = forwarder;
        this.exchange = exchange;
        this.reports = new FrameServer(network, settings.exchange(), exchange);
        this.callers = new CallerServer(Network.parse(settings.listen()), loop, forwarder, this::limits);
        this.readiness = new ReadinessServer(Network.parse(settings.readiness()), loop, this::isReady, registry);
        metrics.registerGauge("gateway.open", "requests under way", forwarder::openRequests);
        metrics.registerGauge(
                "gateway.configuration.age",
                "milliseconds since the configuration was the newest for certain",
                () -> store.ageMillis(GatewayClock.read()));
        metrics.registerGauge(
                "gateway.configuration.version", "version of the configuration in force", () -> store.view()
                        .configurationVersion());
        metrics.registerGauge("gateway.targets", "targets that take work", () -> store.view()
                .targets()
                .size());
    }

    /**
     * Returns the limits of callers in force.
     *
     * @return the limits
     */
    private CallerLimits limits() {
        return store.view().routeTable().map(RouteTable::limits).orElse(CallerLimits.DEFAULT);
    }

    /**
     * Tells whether the gateway should get requests.
     *
     * @return whether it knows a fresh configuration and is not stopping
     */
    private boolean isReady() {
        return !stopping
                && store.view().routeTable().isPresent()
                && store.ageMillis(GatewayClock.read()) < settings.freshnessMillis();
    }

    @Override
    public void start() {
        network.start();
        store.onChange(view -> loop.execute(() -> apply(view)));
        reports.start();
        exchange.start();
        callers.start();
        readiness.start();
        store.start();
    }

    /**
     * Takes a new copy of the configuration and membership.
     *
     * @param view the copy
     */
    private void apply(FleetView view) {
        forwarder.apply(view);
        exchange.apply(view.gateways());
    }

    @Override
    public void stop() {
        stopping = true;
        loop.execute(callers::beginStop);
        long begun = GatewayClock.now();
        long elapsed = 0;
        int open = 1;
        while (elapsed < settings.stopMillis() && (elapsed < ROTATION_MS || open > 0)) {
            sleep();
            elapsed = GatewayClock.now() - begun;
            if (elapsed >= LAST_ADMISSION_MS) {
                loop.execute(forwarder::stopAdmitting);
            }
            long idle = elapsed < ROTATION_MS ? Long.MAX_VALUE : STOP_IDLE_MS;
            open = loop.submit(() -> callers.closeIdle(idle))
                    .syncUninterruptibly()
                    .getNow();
        }
        LOGGER.info("gateway: stops after {} ms with {} connections open", elapsed, open);
        store.stop();
        callers.stop();
        readiness.stop();
        exchange.stop();
        reports.stop();
        network.stop();
    }

    /** Waits a moment. */
    private static void sleep() {
        try {
            TimeUnit.MILLISECONDS.sleep(STOP_INTERVAL_MS);
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
    }
}
