package org.bamboohatch.control.server;

import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import org.bamboohatch.control.ControlSettings;
import org.bamboohatch.control.state.ControlStateMachine;
import org.bamboohatch.kernel.event.Timeline;
import org.bamboohatch.kernel.id.HostName;
import org.bamboohatch.kernel.id.ZoneName;
import org.bamboohatch.protocol.message.ControlReply;
import org.bamboohatch.protocol.message.ControlReply.Changes;
import org.bamboohatch.protocol.message.ControlReply.EvacuationChanged;
import org.bamboohatch.protocol.message.ControlRequest;
import org.bamboohatch.protocol.message.ControlRequest.ChangeEvacuation;
import org.bamboohatch.protocol.message.ControlRequest.OpenOrder;
import org.bamboohatch.protocol.message.ControlRequest.Poll;
import org.bamboohatch.protocol.message.EvacuatedZones;
import org.bamboohatch.protocol.message.Message;
import org.bamboohatch.protocol.message.OrderTicket;
import org.bamboohatch.protocol.transport.Exchange;
import org.bamboohatch.protocol.transport.Network;
import org.bamboohatch.replication.consensus.ConsensusTiming;
import org.bamboohatch.replication.driver.ReplicaService;
import org.bamboohatch.replication.driver.ReplicaSettings;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

import static org.assertj.core.api.Assertions.assertThat;

/** Orders at a control process with a single replica. */
@Timeout(60)
class EvacuationRequestsTest {

    private static final ZoneName ZONE = new ZoneName("zone-a");

    private static final ZoneName OTHER = new ZoneName("zone-b");

    private static final long WALL_TIME = 1_700_000_000_000L;

    @TempDir
    private Path folder;

    private final Network network = new Network(1, new Timeline("control", Timeline.DEFAULT_CAPACITY));

    private ReplicaService replica;

    private ControlServer server;

    /** The last reply to a request; the future is completed by the thread that sends the reply. */
    private record LastReply(CompletableFuture<ControlReply> reply) implements Exchange {

        LastReply() {
            this(new CompletableFuture<>());
        }

        @Override
        public void reply(Message message) {
            throw new AssertionError("unexpected reply " + message);
        }

        @Override
        public void end(Message message) {
            reply.complete((ControlReply) message);
        }

        @Override
        public boolean isOpen() {
            return true;
        }
    }

    private void start(ZoneName... zones) throws Exception {
        HostName host = new HostName("host");
        String address;
        try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
            address = "127.0.0.1:" + free.getLocalPort();
        }
        ControlSettings settings = new ControlSettings(
                host,
                ZONE,
                address,
                "",
                "",
                folder.toString(),
                List.of(address),
                "",
                true,
                1,
                10_000,
                1,
                List.of(zones));
        ControlStateMachine stateMachine = new ControlStateMachine();
        replica = new ReplicaService(
                new ReplicaSettings(
                        host,
                        new ZoneName("zone-a"),
                        address,
                        folder,
                        List.of(address),
                        host,
                        10_000,
                        true,
                        1,
                        ConsensusTiming.DEFAULT),
                stateMachine,
                network);
        server = new ControlServer(settings, replica, stateMachine, network);
        replica.start();
        server.start();
        while (!status().role().equals("LEADER") || status().appliedIndex() < 2) {
            TimeUnit.MILLISECONDS.sleep(10);
        }
    }

    @AfterEach
    void stop() {
        replica.stop();
        network.stop();
    }

    private ControlReply call(ControlRequest request) throws Exception {
        LastReply last = new LastReply();
        server.handle(request, last);
        return last.reply().get(10, TimeUnit.SECONDS);
    }

    private ControlReply.Status status() throws Exception {
        return (ControlReply.Status) call(new ControlRequest.GetStatus());
    }

    private static Poll poll(long evacuationVersion) {
        return new Poll(
                new HostName("gateway"),
                ZONE,
                Long.MAX_VALUE,
                0,
                0,
                Long.MAX_VALUE,
                "127.0.0.1:1",
                true,
                evacuationVersion);
    }

    /** Guards against an acknowledgement after which a gateway that polls regularly still sends to the zone. */
    @Test
    void anOrderIsNotAcknowledgedBeforeGatewaysAreToldOfIt() throws Exception {
        start();
        assertThat(((Changes) call(poll(0))).evacuated()).isEqualTo(EvacuatedZones.NONE);
        LastReply acknowledgement = new LastReply();
        server.handle(new ChangeEvacuation(ZONE, true, WALL_TIME), acknowledgement);
        EvacuatedZones told = EvacuatedZones.NONE;
        boolean acknowledgedBefore = false;
        while (!told.contains(ZONE)) {
            LastReply last = new LastReply();
            // Evaluated by the thread that sends both replies.
            CompletableFuture<Boolean> acknowledged =
                    last.reply().thenApply(reply -> acknowledgement.reply().isDone());
            server.handle(poll(0), last);
            told = ((Changes) last.reply().get(10, TimeUnit.SECONDS)).evacuated();
            acknowledgedBefore = acknowledged.get(10, TimeUnit.SECONDS);
        }
        assertThat(acknowledgedBefore).isFalse();
        call(poll(told.version()));
        assertThat(acknowledgement.reply().get(10, TimeUnit.SECONDS)).isEqualTo(new EvacuationChanged(told));
    }

    /** Guards against an evacuation that cannot be ended, as its zone was removed from the settings. */
    @Test
    void theEvacuationOfAZoneThatTheSettingsNameNoLongerCanBeEnded() throws Exception {
        start(ZONE);
        assertThat(call(new ChangeEvacuation(ZONE, true, WALL_TIME))).isInstanceOf(EvacuationChanged.class);
        replica.stop();
        start(OTHER);
        ControlReply ended = call(new ChangeEvacuation(ZONE, false, WALL_TIME));
        assertThat(((EvacuationChanged) ended).evacuated().zones()).isEmpty();
        assertThat(call(new ChangeEvacuation(ZONE, true, WALL_TIME))).isInstanceOf(ControlReply.Invalid.class);
        assertThat(status().evacuated().zones()).isEmpty();
    }

    /** Guards against a withdrawal that a suspended process held and that took effect after a later evacuation. */
    @Test
    void anOrderThatIsLateIsNotCarriedOut() throws Exception {
        start();
        OrderTicket ticket = open();
        assertThat(call(new ChangeEvacuation(ZONE, true, WALL_TIME, ticket))).isInstanceOf(EvacuationChanged.class);
        TimeUnit.MILLISECONDS.sleep(500);
        assertThat(call(new ChangeEvacuation(ZONE, false, WALL_TIME, ticket)))
                .isInstanceOf(ControlReply.OrderExpired.class);
        assertThat(evacuated()).contains(ZONE);
    }

    /** Another leader may have carried out later orders. */
    @Test
    void anOrderThatWasOpenedByAnotherLeaderIsNotCarriedOut() throws Exception {
        start();
        OrderTicket ticket = open();
        OrderTicket earlier = new OrderTicket(ticket.term() - 1, ticket.issuedAt());
        assertThat(call(new ChangeEvacuation(ZONE, true, WALL_TIME, earlier)))
                .isInstanceOf(ControlReply.OrderExpired.class);
        assertThat(evacuated()).isEmpty();
    }

    @Test
    void anOrderThatIsSentAgainIsAcknowledgedAgain() throws Exception {
        start();
        assertThat(call(new ChangeEvacuation(ZONE, true, WALL_TIME, open()))).isInstanceOf(EvacuationChanged.class);
        assertThat(call(new ChangeEvacuation(ZONE, true, WALL_TIME, open()))).isInstanceOf(EvacuationChanged.class);
        assertThat(evacuated()).containsExactly(ZONE);
    }

    private OrderTicket open() throws Exception {
        return ((ControlReply.OrderOpened) call(new OpenOrder())).ticket();
    }

    private List<ZoneName> evacuated() throws Exception {
        return List.copyOf(((Changes) call(poll(0))).evacuated().zones());
    }
}
