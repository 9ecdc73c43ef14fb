package org.bamboohatch.gateway.configuration;

import java.net.ServerSocket;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;

import org.bamboohatch.gateway.GatewayClock;
import org.bamboohatch.gateway.GatewaySettings;
import org.bamboohatch.kernel.event.Timeline;
import org.bamboohatch.kernel.id.HostName;
import org.bamboohatch.kernel.id.RequestTrait;
import org.bamboohatch.kernel.id.TargetName;
import org.bamboohatch.kernel.id.ZoneName;
import org.bamboohatch.protocol.client.ControlClient;
import org.bamboohatch.protocol.message.ControlReply.Changes;
import org.bamboohatch.protocol.message.ControlRequest.Poll;
import org.bamboohatch.protocol.message.CrashEvidence;
import org.bamboohatch.protocol.message.EvacuatedZones;
import org.bamboohatch.protocol.message.Message;
import org.bamboohatch.protocol.transport.Exchange;
import org.bamboohatch.protocol.transport.FrameServer;
import org.bamboohatch.protocol.transport.Network;
import org.bamboohatch.protocol.transport.RequestHandler;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

import static org.assertj.core.api.Assertions.assertThat;

@Timeout(30)
class FleetStoreTest {

    /** A poll to which control has not replied yet. */
    private record PendingPoll(Poll poll, Exchange exchange) {

        void reply() {
            exchange.end(
                    new Changes(0, List.of(), 1, 1, List.of(), List.of(), 0, 0, null, List.of(), List.of(), false));
        }
    }

    private final LinkedBlockingQueue<PendingPoll> polls = new LinkedBlockingQueue<>();

    private final class FakeControl implements RequestHandler {

        @Override
        public void handle(Message request, Exchange exchange) {
            if (request instanceof Poll poll) {
                polls.add(new PendingPoll(poll, exchange));
            }
        }
    }

    private Network network;

    private FrameServer server;

    private FleetStore store;

    @BeforeEach
    void start() throws Exception {
        int port;
        try (ServerSocket free = new ServerSocket(0)) {
            port = free.getLocalPort();
        }
        String address = "127.0.0.1:" + port;
        network = new Network(1, new Timeline("test", 16));
        server = new FrameServer(network, address, new FakeControl());
        server.start();
        GatewaySettings settings = new GatewaySettings(
                new HostName("gateway-1"),
                new ZoneName("zone-a"),
                "",
                "",
                "127.0.0.1:1",
                List.of(address),
                4_000,
                0.2,
                50,
                10_000,
                3_500,
                60_000,
                1_000,
                0);
        ControlClient control = new ControlClient(network, List.of(address), Duration.ofSeconds(5));
        store = new FleetStore(settings, control, network, () -> List.of(address));
    }

    @AfterEach
    void stop() {
        store.stop();
        server.stop();
        network.stop();
    }

    /**
     * Guards against a gateway that rejects requests although control is reachable: after a suspension of 4.6 s its copy
     * stayed old for another 0.7 s, because control held its regular poll until there were changes.
     */
    @Test
    void anUrgentPollIsSentForAnOldCopy() throws Exception {
        store.start();
        PendingPoll first = nextPoll(false);
        first.reply();
        PendingPoll regular = nextPoll(false);
        PendingPoll urgent = nextPoll(true);
        assertThat(store.ageMillis(GatewayClock.read())).isGreaterThan(500);
        urgent.reply();
        while (store.ageMillis(GatewayClock.read()) > 800) {
            Thread.sleep(5);
        }
        assertThat(store.view().version()).isEqualTo(1);
        regular.reply();
    }

    /** Guards against a gateway that follows control no more after a reply in whose use it has a defect. */
    @Test
    void aReplyThatCannotBeAppliedDoesNotEndThePolls() throws Exception {
        store.onChange(view -> {
            throw new IllegalStateException("an entry that cannot be used");
        });
        store.start();
        nextPoll(false).reply();
        PendingPoll next = nextPoll(false);
        assertThat(store.ageMillis(GatewayClock.read())).isGreaterThan(1_000_000);
        next.reply();
        nextPoll(false).reply();
    }

    /** Guards against requests that are forwarded before it is known that they have ended targets. */
    @Test
    void theFirstPollBringsTheEvidenceAgainstRequestsBeforeTheFirstCopy() throws Exception {
        List<Object> received = new CopyOnWriteArrayList<>();
        CrashEvidence evidence = new CrashEvidence(
                List.of(new CrashEvidence.Crash(
                        new TargetName("target"), 1, 0, List.of(RequestTrait.ofContent("deadly")), false)),
                List.of());
        store.onEvidence(received::add);
        store.onChange(received::add);
        store.start();
        PendingPoll first = nextPoll(false);
        assertThat(first.poll().fleetVersion()).isEqualTo(Poll.NO_FLEET);
        first.exchange()
                .end(new Changes(
                        0, List.of(), 1, 1, List.of(), List.of(), 0, 0, null, List.of(), List.of(), false, null,
                        evidence));
        nextPoll(false);
        assertThat(received).first().isEqualTo(evidence);
        assertThat(received).hasSize(2);
    }

    /** Control acknowledges an order to operators once the polls of all gateways report its version. */
    @Test
    void pollsReportTheVersionOfTheEvacuatedZones() throws Exception {
        store.start();
        PendingPoll first = nextPoll(false);
        assertThat(first.poll().evacuationVersion()).isZero();
        EvacuatedZones evacuated = EvacuatedZones.of(7, List.of(new ZoneName("zone-b")));
        first.exchange()
                .end(new Changes(
                        0, List.of(), 1, 1, List.of(), List.of(), 0, 0, null, List.of(), List.of(), false, evacuated,
                        null));
        assertThat(nextPoll(false).poll().evacuationVersion()).isEqualTo(7);
        assertThat(store.view().evacuatedZones()).isEqualTo(evacuated);
    }

    private PendingPoll nextPoll(boolean urgent) throws InterruptedException {
        while (true) {
            PendingPoll poll = polls.poll(10, TimeUnit.SECONDS);
            assertThat(poll).isNotNull();
            if (poll.poll().urgent() == urgent) {
                return poll;
            }
        }
    }
}
