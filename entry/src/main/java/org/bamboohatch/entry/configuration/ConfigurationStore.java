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

/** Keeps the entry's copy of the configuration by polling control; a poll is answered early when there is news. */
@Singleton
public final class ConfigurationStore implements Service {

    /** Logger of this part. */
    private static final Logger LOGGER = LogManager.getLogger(ConfigurationStore.class);

    /** Time for one poll. */
    private static final Duration POLL_TIMEOUT = Duration.ofSeconds(3);

    /** Nanoseconds in a millisecond. */
    private static final long NANOS_PER_MS = 1_000_000;

    /** The settings. */
    private final EntrySettings settings;

    /** The control processes. */
    private final ControlCalls control;

    /** The network threads. */
    private final Network network;

    /** The present copy. */
    private final AtomicReference<RoutingSnapshot> snapshot = new AtomicReference<>(RoutingSnapshot.NONE);

    /** Hear each new copy. */
    private final List<Consumer<RoutingSnapshot>> listeners = new CopyOnWriteArrayList<>();

    /** Whether the polls go on. */
    private volatile boolean running = true;

    /**
     * Creates a store.
     *
     * @param settings the settings
     * @param control the control processes
     * @param network the network threads
     */
    @Inject
    public ConfigurationStore(EntrySettings settings, ControlCalls control, Network network) {
        this.settings = settings;
        this.control = control;
        this.network = network;
    }

    /**
     * Returns the present time of the entry's monotonic clock.
     *
     * @return the time in milliseconds
     */
    public static long now() {
        return System.nanoTime() / NANOS_PER_MS;
    }

    /**
     * Returns the present copy.
     *
     * @return the copy
     */
    public RoutingSnapshot snapshot() {
        return snapshot.get();
    }

    /**
     * Adds a listener.
     *
     * @param listener hears each new copy
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

    /** Polls again and again. */
    private void poll() {
        if (!running) {
            return;
        }
        RoutingSnapshot copy = snapshot.get();
        long sentAt = now();
        Poll poll = new Poll(settings.host(), settings.zone(), copy.revision(), copy.epoch(), copy.version());
        control.call(poll, POLL_TIMEOUT).whenComplete((reply, problem) -> {
            if (problem == null) {
                take(reply, sentAt);
            }
            network.after(Duration.ZERO, this::poll);
        });
    }

    /**
     * Takes the reply to a poll.
     *
     * @param reply the reply
     * @param sentAt time at which the poll was sent, in milliseconds
     */
    private void take(ControlReply reply, long sentAt) {
        if (reply instanceof Changes changes) {
            if (changes.revision() < snapshot.get().revision()) {
                LOGGER.warn("configuration: ignores an answer that is older than the own copy");
                return;
            }
            RoutingSnapshot next = snapshot.updateAndGet(copy -> copy.apply(changes, sentAt));
            listeners.forEach(listener -> listener.accept(next));
        }
    }
}
