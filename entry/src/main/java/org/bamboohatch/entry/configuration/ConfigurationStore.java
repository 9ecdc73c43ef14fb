package org.bamboohatch.entry.configuration;

import javax.inject.Inject;
import javax.inject.Singleton;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Consumer;

import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.bamboohatch.entry.EntrySettings;
import org.bamboohatch.kernel.service.Service;
import org.bamboohatch.protocol.client.ControlCalls;
import org.bamboohatch.protocol.message.ControlReply;
import org.bamboohatch.protocol.message.ControlReply.Changes;
import org.bamboohatch.protocol.message.ControlRequest.Poll;
import org.bamboohatch.protocol.transport.Network;

/**
 * Maintains the entry's copy of the configuration by long polling the control processes, which reply early when the
 * configuration or the membership has changed.
 */
@Singleton
public final class ConfigurationStore implements Service {

    private static final Logger LOGGER = LogManager.getLogger(ConfigurationStore.class);

    private static final Duration POLL_TIMEOUT = Duration.ofSeconds(3);

    private static final long NANOS_PER_MS = 1_000_000;

    private final EntrySettings settings;

    private final ControlCalls control;

    private final Network network;

    private final AtomicReference<RoutingSnapshot> snapshot = new AtomicReference<>(RoutingSnapshot.EMPTY);

    private final List<Consumer<RoutingSnapshot>> listeners = new CopyOnWriteArrayList<>();

    private volatile boolean running = true;

    /**
     * Creates a store with an empty snapshot; polling begins with {@link #start()}.
     *
     * @param settings the settings of the entry, with its host and availability zone
     * @param control client of the control processes
     * @param network schedules the next poll
     */
    @Inject
    public ConfigurationStore(EntrySettings settings, ControlCalls control, Network network) {
        this.settings = settings;
        this.control = control;
        this.network = network;
    }

    /**
     * Returns the current time of the process's monotonic clock, which all times in the entry refer to.
     *
     * @return the time in milliseconds since an arbitrary origin
     */
    public static long now() {
        return System.nanoTime() / NANOS_PER_MS;
    }

    /**
     * Returns the latest snapshot of the configuration.
     *
     * @return the snapshot, {@link RoutingSnapshot#EMPTY} until control has replied for the first time
     */
    public RoutingSnapshot snapshot() {
        return snapshot.get();
    }

    /**
     * Adds a listener for new snapshots.
     *
     * @param listener invoked with each new snapshot
     */
    public void onChange(Consumer<RoutingSnapshot> listener) {
        listeners.add(listener);
    }

    @Override
    public void start() {
        poll();
    }

    @Override
    public void stop() {
        running = false;
    }

    /** Sends a poll and schedules the next one as soon as this one has ended. */
    private void poll() {
        if (!running) {
            return;
        }
        RoutingSnapshot current = snapshot.get();
        long sentAt = now();
        Poll poll = new Poll(
                settings.host(),
                settings.zone(),
                current.revision(),
                current.membershipEpoch(),
                current.membershipVersion());
        control.call(poll, POLL_TIMEOUT).whenComplete((reply, failure) -> {
            if (failure == null) {
                applyReply(reply, sentAt);
            }
            network.after(Duration.ZERO, this::poll);
        });
    }

    private void applyReply(ControlReply reply, long sentAt) {
        if (reply instanceof Changes changes) {
            if (changes.revision() < snapshot.get().revision()) {
                LOGGER.warn("configuration: ignored a poll reply with an older revision than the local snapshot");
                return;
            }
            RoutingSnapshot next = snapshot.updateAndGet(current -> current.apply(changes, sentAt));
            listeners.forEach(listener -> listener.accept(next));
        }
    }
}
