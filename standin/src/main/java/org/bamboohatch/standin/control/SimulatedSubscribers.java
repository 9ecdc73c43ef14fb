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

/**
 * Simulates the messages with which many agents renew their leases and many entries poll the configuration at control,
 * and counts the requests and bytes.
 */
final class SimulatedSubscribers {

    private static final Duration REQUEST_TIMEOUT = Duration.ofSeconds(3);

    /** Size of the length prefix of a frame. */
    private static final int LENGTH_PREFIX_BYTES = 4;

    private final ControlLoadSettings settings;

    private final Network network;

    private final AtomicLong answeredRequests = new AtomicLong();

    private final AtomicLong transferredBytes = new AtomicLong();

    /** Whether the simulated processes send further requests. */
    private volatile boolean running = true;

    SimulatedSubscribers(ControlLoadSettings settings, Network network) {
        this.settings = settings;
        this.network = network;
    }

    void start() {
        for (int number = 0; number < settings.targets(); number++) {
            announce(new ControlClient(network, settings.control()), number, 0);
        }
        for (int number = 0; number < settings.entries(); number++) {
            poll(new ControlClient(network, settings.control()), number, 0, 0, 0);
        }
    }

    /** Stops sending further requests; open requests are not cancelled. */
    void stop() {
        running = false;
    }

    long answeredRequests() {
        return answeredRequests.get();
    }

    /** Returns the size of all frames sent and received so far, in bytes. */
    long transferredBytes() {
        return transferredBytes.get();
    }

    /**
     * Sends an announcement of a simulated agent and the next one as soon as it is answered.
     *
     * @param client the agent's client
     * @param number number of the agent
     * @param revision the revision that the agent applies
     */
    private void announce(ControlClient client, int number, long revision) {
        TargetAnnouncement target = new TargetAnnouncement(
                new TargetName("played-" + number),
                new ServiceName("played"),
                new HostName("host-" + number),
                zoneOf(number),
                "127.0.0.1:1",
                1,
                List.of(),
                0,
                1,
                false);
        call(client, new Announce(target, revision), reply -> {
            long next = reply instanceof Announced announced ? announced.revision() : revision;
            announce(client, number, next);
        });
    }

    /**
     * Sends a poll of a simulated entry and the next one as soon as it is answered.
     *
     * @param client the entry's client
     * @param number number of the entry
     * @param revision the revision that the entry applies
     * @param epoch epoch of the entry's copy of the membership
     * @param version version of the entry's copy of the membership
     */
    private void poll(ControlClient client, int number, long revision, long epoch, long version) {
        call(
                client,
                new Poll(new HostName("played-entry-" + number), zoneOf(number), revision, epoch, version),
                reply -> {
                    if (reply instanceof Changes changes) {
                        poll(client, number, changes.revision(), changes.epoch(), changes.version());
                    } else {
                        poll(client, number, revision, epoch, version);
                    }
                });
    }

    /**
     * Sends a request and processes the reply, unless the simulation is stopped.
     *
     * @param client the client
     * @param request the request
     * @param next processes the reply
     */
    private void call(ControlClient client, ControlRequest request, java.util.function.Consumer<ControlReply> next) {
        if (!running) {
            return;
        }
        client.call(request, REQUEST_TIMEOUT).thenAccept(reply -> {
            answeredRequests.incrementAndGet();
            transferredBytes.addAndGet(frameBytes(request) + frameBytes(reply));
            network.after(Duration.ZERO, () -> next.accept(reply));
        });
    }

    /**
     * Returns the size of a message's frame on the wire, with the length prefix.
     *
     * @param message the message
     * @return the size in bytes
     */
    private static long frameBytes(org.bamboohatch.protocol.message.Message message) {
        Frame frame = new Frame(1, true, Long.MAX_VALUE >> 1, message);
        return MessageCodec.instance().encode(frame).length + LENGTH_PREFIX_BYTES;
    }

    /**
     * Returns the availability zone of a simulated process; the processes are spread over the zones in turn.
     *
     * @param number number of the process
     * @return the availability zone
     */
    private ZoneName zoneOf(int number) {
        return new ZoneName("zone-" + number % settings.zones());
    }
}
