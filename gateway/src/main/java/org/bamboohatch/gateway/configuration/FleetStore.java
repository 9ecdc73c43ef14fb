package org.bamboohatch.gateway.configuration;

import javax.inject.Inject;
import javax.inject.Singleton;

import java.io.ByteArrayInputStream;
import java.io.IOException;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Consumer;
import java.util.function.Supplier;
import java.util.zip.InflaterInputStream;

import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.bamboohatch.document.fleet.FleetConfiguration;
import org.bamboohatch.document.fleet.FleetFormat;
import org.bamboohatch.gateway.GatewayClock;
import org.bamboohatch.gateway.GatewaySettings;
import org.bamboohatch.kernel.outcome.Result;
import org.bamboohatch.kernel.plugin.Plugins;
import org.bamboohatch.kernel.service.Service;
import org.bamboohatch.protocol.client.ControlClient;
import org.bamboohatch.protocol.message.ControlReply;
import org.bamboohatch.protocol.message.ControlReply.Changes;
import org.bamboohatch.protocol.message.ControlRequest.Poll;
import org.bamboohatch.protocol.message.FleetText;
import org.bamboohatch.protocol.transport.Network;

/** Keeps the gateway's copy of the configuration and membership by polling control. */
@Singleton
public final class FleetStore implements FleetViewSource, Service {

    /** Logger of this part. */
    private static final Logger LOGGER = LogManager.getLogger(FleetStore.class);

    /** Time for one poll over all control processes. */
    private static final Duration POLL_TIMEOUT = Duration.ofSeconds(3);

    /** Age of the copy from which it is asked for without waiting for news, in milliseconds: a held poll is younger. */
    private static final long URGENT_AGE_MS = 900;

    /** Interval at which the age is looked at, in milliseconds. */
    private static final long AGE_INTERVAL_MS = 100;

    /** Time for an urgent poll. */
    private static final Duration URGENT_TIMEOUT = Duration.ofMillis(900);

    /** Pause after a poll that brought no answer, in milliseconds. */
    private static final long PAUSE_MS = 50;

    /** The settings. */
    private final GatewaySettings settings;

    /** The control processes. */
    private final ControlClient control;

    /** The network threads. */
    private final Network network;

    /** Reads the addresses of control processes that the settings name by now. */
    private final Supplier<List<String>> seeds;

    /** Reads configurations. */
    private final Plugins<FleetFormat> formats = Plugins.load(FleetFormat.class);

    /** The present copy. */
    private final AtomicReference<FleetView> view = new AtomicReference<>(FleetView.EMPTY);

    /** When the last answered poll was sent: the copy was the newest at that moment. */
    private volatile GatewayClock confirmed = new GatewayClock(Long.MIN_VALUE / 2, Long.MIN_VALUE / 2);

    /** Hear each new copy. */
    private final List<Consumer<FleetView>> listeners = new CopyOnWriteArrayList<>();

    /** Whether the polls go on. */
    private volatile boolean running = true;

    /** Whether an urgent poll is under way. */
    private volatile boolean freshening;

    /** Whether control answered the last poll. */
    private boolean inTouch;

    /**
     * Creates a store.
     *
     * @param settings the settings
     * @param control the control processes
     * @param network the network threads
     * @param seeds reads the addresses of control processes that the settings name by now
     */
    @Inject
    public FleetStore(GatewaySettings settings, ControlClient control, Network network, Supplier<List<String>> seeds) {
        this.settings = settings;
        this.seeds = seeds;
        this.control = control;
        this.network = network;
    }

    @Override
    public FleetView view() {
        return view.get();
    }

    @Override
    public long ageMillis(GatewayClock now) {
        return now.millisSince(confirmed);
    }

    /**
     * Adds a listener.
     *
     * @param listener hears each new copy
     */
    public void onChange(Consumer<FleetView> listener) {
        listeners.add(listener);
    }

    @Override
    public void start() {
        poll();
        network.every(Duration.ofMillis(AGE_INTERVAL_MS), this::freshen);
    }

    @Override
    public void stop() {
        running = false;
    }

    /** Polls again and again. */
    private void poll() {
        if (!running) {
            return;
        }
        FleetView copy = view.get();
        GatewayClock sentAt = GatewayClock.read();
        control.call(question(copy, false), POLL_TIMEOUT).whenComplete((reply, problem) -> {
            boolean answered = problem == null && reply instanceof Changes;
            noteContact(answered, reply);
            if (answered) {
                take((Changes) reply, copy, sentAt);
            } else {
                control.addAddresses(seeds.get());
            }
            network.after(Duration.ofMillis(answered ? 0 : PAUSE_MS), this::poll);
        });
    }

    /**
     * Makes a poll.
     *
     * @param copy the present copy
     * @param urgent whether the answer must not be held for news
     * @return the poll
     */
    private Poll question(FleetView copy, boolean urgent) {
        return new Poll(
                settings.host(),
                settings.zone(),
                Long.MAX_VALUE,
                copy.epoch(),
                copy.version(),
                copy.configurationVersion(),
                settings.exchange(),
                urgent);
    }

    /** Asks at once if the copy has grown old, as after a suspension: the poll under way may have been lost in it. */
    private void freshen() {
        GatewayClock now = GatewayClock.read();
        if (!running || freshening || ageMillis(now) < URGENT_AGE_MS) {
            return;
        }
        freshening = true;
        FleetView copy = view.get();
        control.call(question(copy, true), URGENT_TIMEOUT).whenComplete((reply, problem) -> {
            freshening = false;
            if (problem == null && reply instanceof Changes changes) {
                take(changes, copy, now);
            }
        });
    }

    /**
     * Logs when control is lost or back.
     *
     * @param answered whether control answered
     * @param reply what was answered instead
     */
    private void noteContact(boolean answered, ControlReply reply) {
        if (answered != inTouch) {
            inTouch = answered;
            if (answered) {
                LOGGER.info("fleet: control answers again");
            } else {
                LOGGER.warn("fleet: control does not answer: {}", reply);
            }
        }
    }

    /**
     * Takes the answer to a poll.
     *
     * @param changes what changed
     * @param copy copy that the poll told of
     * @param sentAt moment at which the poll was sent
     */
    private void take(Changes changes, FleetView copy, GatewayClock sentAt) {
        control.replaceAddresses(changes.controls());
        if (view.get() != copy) {
            return;
        }
        Optional<RouteTable> newer = newer(changes.fleet(), copy);
        FleetView next = copy.apply(changes, newer);
        if (!next.equals(copy)) {
            if (newer.isPresent()
                    || !next.targets().keySet().equals(copy.targets().keySet())) {
                LOGGER.info(
                        "fleet: configuration {}, membership {}.{} with {} targets, {} gateways",
                        next.configurationVersion(),
                        next.epoch(),
                        next.version(),
                        next.targets().size(),
                        next.gateways().size());
            }
            view.set(next);
            listeners.forEach(listener -> listener.accept(next));
        }
        boolean unreadable = changes.fleet() != null
                && changes.fleet().version() > view.get().configurationVersion();
        if (!unreadable) {
            confirmed = sentAt.monotonic() > confirmed.monotonic() ? sentAt : confirmed;
        }
    }

    /**
     * Reads the configuration that came with an answer.
     *
     * @param text the configuration, or null
     * @param copy the present copy
     * @return the configuration if it is newer than the copy's
     */
    private Optional<RouteTable> newer(FleetText text, FleetView copy) {
        if (text == null || text.version() <= copy.configurationVersion()) {
            return Optional.empty();
        }
        FleetFormat format = formats.find(text.format())
                .orElseThrow(() -> new IllegalStateException("no plug-in reads the format " + text.format()));
        try (InflaterInputStream inflated = new InflaterInputStream(new ByteArrayInputStream(text.content()))) {
            Result<FleetConfiguration, List<String>> result = format.read(inflated.readAllBytes());
            if (result instanceof Result.Success<FleetConfiguration, List<String>> success) {
                return Optional.of(new RouteTable(success.value()));
            }
            LOGGER.error("fleet: configuration {} cannot be read: {}", text.version(), result);
        } catch (IOException damaged) {
            LOGGER.error("fleet: configuration {} is damaged: {}", text.version(), damaged.getMessage());
        }
        return Optional.empty();
    }
}
