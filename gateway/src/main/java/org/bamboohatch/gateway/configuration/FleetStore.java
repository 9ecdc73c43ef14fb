package org.bamboohatch.gateway.configuration;

import javax.inject.Inject;
import javax.inject.Singleton;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Consumer;
import java.util.function.Supplier;

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
import org.bamboohatch.protocol.message.CrashEvidence;
import org.bamboohatch.protocol.message.FleetText;
import org.bamboohatch.protocol.transport.Network;

/** Keeps this gateway's copy of the configuration and the membership current by polling control. */
@Singleton
public final class FleetStore implements FleetViewSource, Service {

    private static final Logger LOGGER = LogManager.getLogger(FleetStore.class);

    /** Timeout of one poll, over all control processes that are contacted for it. */
    private static final Duration POLL_TIMEOUT = Duration.ofSeconds(3);

    /**
     * Age of the copy above which an urgent poll is sent, in milliseconds. Control replies to regular polls early enough
     * to keep the copy younger, although it holds them until there are changes.
     */
    private static final long URGENT_AGE_MS = 900;

    /** Interval at which the age of the copy is checked, in milliseconds. */
    private static final long AGE_CHECK_INTERVAL_MS = 100;

    private static final Duration URGENT_POLL_TIMEOUT = Duration.ofMillis(900);

    /** Delay of the next poll after one that failed, in milliseconds. */
    private static final long RETRY_DELAY_MS = 50;

    private final GatewaySettings settings;

    private final ControlClient control;

    private final Network network;

    /** Returns the addresses of control processes in the current settings. */
    private final Supplier<List<String>> seeds;

    /** Parsers of configurations by format. */
    private final Plugins<FleetFormat> formats = Plugins.load(FleetFormat.class);

    private final AtomicReference<FleetView> view = new AtomicReference<>(FleetView.EMPTY);

    /** Time at which the latest poll with a reply was sent: the copy is known to have been current then. */
    private volatile GatewayClock confirmedAt = new GatewayClock(Long.MIN_VALUE / 2, Long.MIN_VALUE / 2);

    private final List<Consumer<FleetView>> listeners = new CopyOnWriteArrayList<>();

    /** Receives the evidence against requests that end targets. */
    private volatile Consumer<CrashEvidence> evidenceListener = evidence -> {};

    private volatile boolean running = true;

    /** Whether the reply to an urgent poll is pending. */
    private volatile boolean urgentPollPending;

    /** Whether control replied to the latest regular poll. */
    private boolean controlReachable;

    /**
     * Creates a store with an empty copy, which does not poll yet.
     *
     * @param settings settings of this gateway
     * @param control client of the control processes
     * @param network schedules the polls
     * @param seeds returns the addresses of control processes in the current settings, which may have changed
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
        return now.millisSince(confirmedAt);
    }

    /**
     * Adds a listener for new copies.
     *
     * @param listener invoked with each new copy; must not block
     */
    public void onChange(Consumer<FleetView> listener) {
        listeners.add(listener);
    }

    /**
     * Sets the listener for the evidence against requests that end targets.
     *
     * @param listener invoked with what control has recorded, before the first copy with a configuration; must not block
     */
    public void onEvidence(Consumer<CrashEvidence> listener) {
        evidenceListener = listener;
    }

    @Override
    public void start() {
        poll();
        network.every(Duration.ofMillis(AGE_CHECK_INTERVAL_MS), this::pollIfOld);
    }

    @Override
    public void stop() {
        running = false;
    }

    /** Sends a poll; the next one follows its reply. */
    private void poll() {
        if (!running) {
            return;
        }
        FleetView copy = view.get();
        GatewayClock sentAt = GatewayClock.read();
        control.call(pollRequest(copy, false), POLL_TIMEOUT).whenComplete((reply, problem) -> {
            boolean answered = problem == null && reply instanceof Changes;
            logReachability(answered, reply);
            boolean applied = answered && tryApplyReply((Changes) reply, copy, sentAt);
            if (!answered) {
                control.addAddresses(seeds.get());
            }
            network.after(Duration.ofMillis(applied ? 0 : RETRY_DELAY_MS), this::poll);
        });
    }

    /**
     * Applies the reply to a poll. A defect in its use must not end the polls; the age of the copy then shows that it is not
     * current.
     *
     * @param changes the changes since the copy
     * @param copy the copy that the poll was based on
     * @param sentAt time at which the poll was sent
     * @return whether the reply was applied without an exception
     */
    private boolean tryApplyReply(Changes changes, FleetView copy, GatewayClock sentAt) {
        try {
            applyReply(changes, copy, sentAt);
            return true;
        } catch (RuntimeException defect) {
            LOGGER.error("fleet: membership {}.{} is not applied", changes.epoch(), changes.version(), defect);
            return false;
        }
    }

    /**
     * Creates the poll for the changes since a copy.
     *
     * @param copy copy whose changes are requested
     * @param urgent whether control must reply at once, rather than hold the poll until there are changes
     * @return the request
     */
    private Poll pollRequest(FleetView copy, boolean urgent) {
        return new Poll(
                settings.host(),
                settings.zone(),
                Long.MAX_VALUE,
                copy.epoch(),
                copy.version(),
                copy.configurationVersion(),
                settings.exchange(),
                urgent,
                copy.evacuatedZones().version());
    }

    /**
     * Sends an urgent poll if the copy is old, as after a suspension of the host: the pending regular poll may have been
     * lost in it.
     */
    private void pollIfOld() {
        GatewayClock now = GatewayClock.read();
        if (!running || urgentPollPending || ageMillis(now) < URGENT_AGE_MS) {
            return;
        }
        urgentPollPending = true;
        FleetView copy = view.get();
        control.call(pollRequest(copy, true), URGENT_POLL_TIMEOUT).whenComplete((reply, problem) -> {
            urgentPollPending = false;
            if (problem == null && reply instanceof Changes changes) {
                tryApplyReply(changes, copy, now);
            }
        });
    }

    /**
     * Logs that control has become reachable or unreachable.
     *
     * @param answered whether control has sent the changes that were requested
     * @param reply the reply, null if none arrived
     */
    private void logReachability(boolean answered, ControlReply reply) {
        if (answered != controlReachable) {
            controlReachable = answered;
            if (answered) {
                LOGGER.info("fleet: control answers again");
            } else {
                LOGGER.warn("fleet: control does not answer: {}", reply);
            }
        }
    }

    /**
     * Applies the reply to a poll. Changes to a copy that has been replaced meanwhile are dropped, and a configuration that
     * cannot be read leaves the age of the copy as it is.
     *
     * @param changes the changes since the copy
     * @param copy the copy that the poll was based on
     * @param sentAt time at which the poll was sent
     */
    private void applyReply(Changes changes, FleetView copy, GatewayClock sentAt) {
        control.replaceAddresses(changes.controls());
        if (view.get() != copy) {
            return;
        }
        if (changes.crashes() != null) {
            evidenceListener.accept(changes.crashes());
        }
        Optional<RouteTable> newerRouteTable = readNewer(changes.fleet(), copy);
        FleetView next = copy.apply(changes, newerRouteTable);
        if (!next.equals(copy)) {
            if (newerRouteTable.isPresent()
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
            confirmedAt = sentAt.monotonic() > confirmedAt.monotonic() ? sentAt : confirmedAt;
        }
    }

    /**
     * Reads the configuration of a reply.
     *
     * @param text the compressed configuration, or null
     * @param copy the current copy
     * @return the configuration, empty if it is not newer than that of the copy or cannot be read
     */
    private Optional<RouteTable> readNewer(FleetText text, FleetView copy) {
        if (text == null || text.version() <= copy.configurationVersion()) {
            return Optional.empty();
        }
        Result<FleetConfiguration, List<String>> result = text.parse(formats);
        if (result instanceof Result.Success<FleetConfiguration, List<String>> success) {
            return Optional.of(new RouteTable(success.value()));
        }
        LOGGER.error("fleet: configuration {} cannot be read: {}", text.version(), result);
        return Optional.empty();
    }
}
