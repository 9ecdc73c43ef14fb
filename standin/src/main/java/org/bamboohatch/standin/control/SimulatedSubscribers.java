package org.bamboohatch.standin.control;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.atomic.AtomicLong;

import org.bamboohatch.kernel.id.HostName;
import org.bamboohatch.kernel.id.ServiceName;
import org.bamboohatch.kernel.id.TargetName;
import org.bamboohatch.kernel.id.ZoneName;
import org.bamboohatch.protocol.client.ControlClient;
import org.bamboohatch.protocol.message.ControlReply;
import org.bamboohatch.protocol.message.ControlReply.Announced;
import org.bamboohatch.protocol.message.ControlReply.Changes;
import org.bamboohatch.protocol.message.ControlRequest;
import org.bamboohatch.protocol.message.ControlRequest.Announce;
import org.bamboohatch.protocol.message.ControlRequest.Poll;
import org.bamboohatch.protocol.message.Frame;
import org.bamboohatch.protocol.message.MessageCodec;
import org.bamboohatch.protocol.message.TargetAnnouncement;
import org.bamboohatch.protocol.transport.Network;

/** Plays many agents and entries towards control, as far as leases and configuration go, and counts their bytes. */
final class SimulatedSubscribers {

    /** Time for one question. */
    private static final Duration TIMEOUT = Duration.ofSeconds(3);

    /** Bytes of the length in front of each frame. */
    private static final int LENGTH_BYTES = 4;

    /** The settings. */
    private final ControlLoadSettings settings;

    /** The network threads. */
    private final Network network;

    /** Questions answered so far. */
    private final AtomicLong answered = new AtomicLong();

    /** Bytes sent and received so far. */
    private final AtomicLong bytes = new AtomicLong();

    /** Whether the play goes on. */
    private volatile boolean running = true;

    /**
     * Creates the players.
     *
     * @param settings the settings
     * @param network the network threads
     */
    SimulatedSubscribers(ControlLoadSettings settings, Network network) {
        this.settings = settings;
        this.network = network;
    }

    /** Begins to play. */
    void start() {
        for (int number = 0; number < settings.targets(); number++) {
            announce(new ControlClient(network, settings.control()), number, 0);
        }
        for (int number = 0; number < settings.entries(); number++) {
            poll(new ControlClient(network, settings.control()), number, 0, 0, 0);
        }
    }

    /** Ends the play. */
    void stop() {
        running = false;
    }

    /**
     * Returns the questions answered so far.
     *
     * @return the number
     */
    long answered() {
        return answered.get();
    }

    /**
     * Returns the bytes sent and received so far.
     *
     * @return the bytes of all frames
     */
    long bytes() {
        return bytes.get();
    }

    /**
     * Plays an agent.
     *
     * @param client the agent's client
     * @param number number of the agent
     * @param revision the revision that it applies
     */
    private void announce(ControlClient client, int number, long revision) {
        TargetAnnouncement target = new TargetAnnouncement(
                new TargetName("played-" + number),
                new ServiceName("played"),
                new HostName("host-" + number),
                zone(number),
                "127.0.0.1:1",
                1,
                List.of(),
                0,
                1,
                false);
        ask(client, new Announce(target, revision), reply -> {
            long next = reply instanceof Announced announced ? announced.revision() : revision;
            announce(client, number, next);
        });
    }

    /**
     * Plays an entry.
     *
     * @param client the entry's client
     * @param number number of the entry
     * @param revision the revision that it applies
     * @param epoch epoch of its copy of the membership
     * @param version version of its copy of the membership
     */
    private void poll(ControlClient client, int number, long revision, long epoch, long version) {
        ask(client, new Poll(new HostName("played-entry-" + number), zone(number), revision, epoch, version), reply -> {
            if (reply instanceof Changes changes) {
                poll(client, number, changes.revision(), changes.epoch(), changes.version());
            } else {
                poll(client, number, revision, epoch, version);
            }
        });
    }

    /**
     * Asks a question and goes on with the answer.
     *
     * @param client the client
     * @param request the question
     * @param next goes on
     */
    private void ask(ControlClient client, ControlRequest request, java.util.function.Consumer<ControlReply> next) {
        if (!running) {
            return;
        }
        client.call(request, TIMEOUT).thenAccept(reply -> {
            answered.incrementAndGet();
            bytes.addAndGet(size(request) + size(reply));
            network.after(Duration.ZERO, () -> next.accept(reply));
        });
    }

    /**
     * Returns the bytes of a frame.
     *
     * @param message the message
     * @return the bytes on the wire
     */
    private static long size(org.bamboohatch.protocol.message.Message message) {
        Frame frame = new Frame(1, true, Long.MAX_VALUE >> 1, message);
        return MessageCodec.instance().encode(frame).length + LENGTH_BYTES;
    }

    /**
     * Returns the availability zone of a player.
     *
     * @param number number of the player
     * @return the zone
     */
    private ZoneName zone(int number) {
        return new ZoneName("zone-" + number % settings.zones());
    }
}
