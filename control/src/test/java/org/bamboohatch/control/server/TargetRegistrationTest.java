package org.bamboohatch.control.server;

import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import org.bamboohatch.control.ControlSettings;
import org.bamboohatch.control.state.ControlStateMachine;
import org.bamboohatch.document.fleet.CallerLimits;
import org.bamboohatch.document.fleet.FleetConfiguration;
import org.bamboohatch.document.fleet.FleetFormat;
import org.bamboohatch.document.fleet.FleetService;
import org.bamboohatch.kernel.event.Timeline;
import org.bamboohatch.kernel.id.HostName;
import org.bamboohatch.kernel.id.ServiceName;
import org.bamboohatch.kernel.id.TargetName;
import org.bamboohatch.kernel.id.ZoneName;
import org.bamboohatch.kernel.outcome.Result;
import org.bamboohatch.protocol.message.ControlReply;
import org.bamboohatch.protocol.message.ControlRequest;
import org.bamboohatch.protocol.message.ControlRequest.Deregister;
import org.bamboohatch.protocol.message.ControlRequest.OpenOrder;
import org.bamboohatch.protocol.message.ControlRequest.Register;
import org.bamboohatch.protocol.message.ControlRequest.ReplaceFleet;
import org.bamboohatch.protocol.message.FleetText;
import org.bamboohatch.protocol.message.Message;
import org.bamboohatch.protocol.message.OrderTicket;
import org.bamboohatch.protocol.message.TargetAnnouncement;
import org.bamboohatch.protocol.transport.Exchange;
import org.bamboohatch.protocol.transport.Network;
import org.bamboohatch.replication.consensus.ConsensusTiming;
import org.bamboohatch.replication.driver.ReplicaService;
import org.bamboohatch.replication.driver.ReplicaSettings;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

import static org.assertj.core.api.Assertions.assertThat;

/** Registrations at a control process with a single replica, which may be replaced by the next leader. */
@Timeout(60)
class TargetRegistrationTest {

    private static final ServiceName NAMED = new ServiceName("portal");

    private static final ServiceName ADDED = new ServiceName("added");

    private static final String ADDRESS = "127.0.0.1:9";

    /** Time of the deregistrations, later than the start of all targets, in Unix milliseconds. */
    private static final long WALL_TIME = 1_000_000;

    @TempDir
    private Path folder;

    private final Network network = new Network(1, new Timeline("control", Timeline.DEFAULT_CAPACITY));

    private ReplicaService replica;

    private ControlServer server;

    /** A configuration that names the services of a list. */
    public static final class ListOfServices implements FleetFormat {

        /** Creates the format; called by {@link java.util.ServiceLoader}. */
        public ListOfServices() {}

        @Override
        public String name() {
            return "list";
        }

        @Override
        public Result<FleetConfiguration, List<String>> read(byte[] text) {
            List<FleetService> services = Arrays.stream(new String(text, StandardCharsets.UTF_8).split(","))
                    .map(name -> new FleetService(new ServiceName(name), "/", 1, Optional.empty()))
                    .toList();
            return Result.success(
                    new FleetConfiguration(1, List.of(), services, CallerLimits.DEFAULT, Optional.empty()));
        }
    }

    /** The last reply to a request. */
    private record LastReply(CompletableFuture<ControlReply> reply) implements Exchange {

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

    @BeforeEach
    void start() throws Exception {
        HostName host = new HostName("host");
        String address;
        try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
            address = "127.0.0.1:" + free.getLocalPort();
        }
        ControlSettings settings = new ControlSettings(
                host,
                new ZoneName("zone"),
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
                List.of());
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

    /** Ends the leader; the next one has its disk only. */
    private void replaceLeader() throws Exception {
        replica.stop();
        start();
    }

    private ControlReply call(ControlRequest request) throws Exception {
        LastReply last = new LastReply(new CompletableFuture<>());
        server.handle(request, last);
        return last.reply().get(10, TimeUnit.SECONDS);
    }

    private ControlReply.Status status() throws Exception {
        return (ControlReply.Status) call(new ControlRequest.GetStatus());
    }

    private List<String> liveTargets() throws Exception {
        return status().targets().stream()
                .map(target -> target.target().value())
                .toList();
    }

    private void nameServices(long version, String services) throws Exception {
        FleetText text = FleetText.compress(version, "list", services.getBytes(StandardCharsets.UTF_8));
        assertThat(call(new ReplaceFleet(text))).isEqualTo(new ControlReply.FleetReplaced(version));
    }

    private void register(String name, ServiceName service, long incarnation, long sequence, boolean leaving)
            throws Exception {
        assertThat(call(new Register(announcement(name, service, ADDRESS, incarnation, sequence, leaving))))
                .isInstanceOf(ControlReply.Registered.class);
    }

    private static TargetAnnouncement announcement(
            String name, ServiceName service, String address, long incarnation, long sequence, boolean leaving) {
        return new TargetAnnouncement(
                new TargetName(name),
                service,
                new HostName("host"),
                new ZoneName("zone"),
                address,
                incarnation,
                List.of(),
                0,
                1,
                leaving,
                sequence);
    }

    private void deregister(String name) throws Exception {
        assertThat(call(new Deregister(new TargetName(name), WALL_TIME, null)))
                .isInstanceOf(ControlReply.Registered.class);
    }

    /** Guards against a deregistration that a suspended process held and that ends a later start of the target. */
    @Test
    void aDeregistrationThatIsLateEndsNoLaterStart() throws Exception {
        nameServices(7, "portal");
        register("restarted", NAMED, 100, 5, false);
        OrderTicket ticket = ((ControlReply.OrderOpened) call(new OpenOrder())).ticket();
        deregister("restarted");
        register("restarted", NAMED, 300, 1, false);
        TimeUnit.MILLISECONDS.sleep(500);
        assertThat(call(new Deregister(new TargetName("restarted"), WALL_TIME, ticket)))
                .isInstanceOf(ControlReply.OrderExpired.class);
        assertThat(liveTargets()).containsExactly("restarted");
    }

    /** Guards against heartbeats of another writer that take the addresses of sound targets for good. */
    @Test
    void anAnnouncementOfAServiceThatIsNotNamedTakesNoAddress() throws Exception {
        nameServices(7, "portal");
        register("sound", NAMED, 100, 1, false);
        register("stray", new ServiceName("nobody"), 200, 1, false);
        register("sound", NAMED, 100, 2, false);
        assertThat(liveTargets()).containsExactly("sound");
    }

    /** Guards against such heartbeats under the name of a sound target. */
    @Test
    void anAnnouncementOfAServiceThatIsNotNamedReplacesNoTarget() throws Exception {
        nameServices(7, "portal");
        register("sound", NAMED, 100, 1, false);
        register("sound", new ServiceName("nobody"), 200, 1, false);
        register("sound", new ServiceName("nobody"), 300, 1, true);
        register("sound", NAMED, 100, 2, false);
        assertThat(status().targets()).singleElement().satisfies(target -> {
            assertThat(target.service()).isEqualTo(NAMED);
            assertThat(target.sequence()).isEqualTo(2);
        });
    }

    @Test
    void targetsOfAServiceThatIsNamedSoonAreNotLost() throws Exception {
        nameServices(7, "portal");
        register("early", ADDED, 100, 1, false);
        assertThat(liveTargets()).isEmpty();
        nameServices(8, "portal,added");
        assertThat(liveTargets()).containsExactly("early");
    }

    @Test
    void aTargetWhoseServiceIsNoLongerNamedLeavesAsAnnounced() throws Exception {
        nameServices(7, "portal,added");
        register("old", ADDED, 100, 1, false);
        nameServices(8, "portal");
        register("old", ADDED, 100, 2, true);
        assertThat(liveTargets()).isEmpty();
    }

    /** Guards against late heartbeats that bring a target back which an earlier leader has seen leave. */
    @Test
    void theNextLeaderKnowsWhichTargetsHaveLeft() throws Exception {
        nameServices(7, "portal");
        register("deregistered", NAMED, 100, 5, false);
        deregister("deregistered");
        register("draining", NAMED, 200, 5, false);
        register("draining", NAMED, 200, 7, true);
        replaceLeader();
        register("deregistered", NAMED, 100, 6, false);
        register("draining", NAMED, 200, 6, false);
        assertThat(liveTargets()).isEmpty();
        register("deregistered", NAMED, 300, 1, false);
        assertThat(liveTargets()).containsExactly("deregistered");
    }

    @Test
    void anAddressThatCannotBeUsedIsRefused() throws Exception {
        TargetAnnouncement odd = announcement("odd", NAMED, "127.0.0.1:99999", 100, 1, false);
        assertThat(call(new Register(odd))).isInstanceOf(ControlReply.Invalid.class);
        assertThat(call(new ControlRequest.Announce(odd, 0))).isInstanceOf(ControlReply.Invalid.class);
        assertThat(liveTargets()).isEmpty();
    }
}
