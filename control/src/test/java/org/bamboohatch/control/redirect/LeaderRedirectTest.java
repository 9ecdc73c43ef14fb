package org.bamboohatch.control.redirect;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

import org.bamboohatch.control.ControlMain;
import org.bamboohatch.control.ControlSettings;
import org.bamboohatch.kernel.event.Timeline;
import org.bamboohatch.kernel.id.HostName;
import org.bamboohatch.kernel.id.ZoneName;
import org.bamboohatch.kernel.service.Service;
import org.bamboohatch.protocol.client.ControlClient;
import org.bamboohatch.protocol.message.ControlReply;
import org.bamboohatch.protocol.message.ControlRequest.GetFleet;
import org.bamboohatch.protocol.message.ControlRequest.GetStatus;
import org.bamboohatch.protocol.transport.Network;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against control processes that end at each start on hosts without a disk, and against a group that is never
 * bootstrapped, or not found after a restart, because the settings name such hosts.
 */
@Timeout(120)
class LeaderRedirectTest {

    /** Prefix of addresses that no other test listens on, so that a port is not taken after it was found free. */
    private static final String ADDRESS_PREFIX = "127.0.72.1";

    private static final int PROCESSES = 5;

    private static final int VOTERS = 3;

    private static final Duration CALL_TIMEOUT = Duration.ofSeconds(60);

    @TempDir
    private Path folder;

    private final Network network = new Network(1, new Timeline("test", 16));

    private final List<String> addresses = new ArrayList<>();

    private final List<Service> started = new ArrayList<>();

    @BeforeEach
    void chooseAddresses() throws IOException {
        List<ServerSocket> free = new ArrayList<>();
        for (int number = 0; number < PROCESSES; number++) {
            ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName(ADDRESS_PREFIX + number));
            free.add(socket);
            addresses.add(ADDRESS_PREFIX + number + ":" + socket.getLocalPort());
        }
        for (ServerSocket socket : free) {
            socket.close();
        }
    }

    @AfterEach
    void stopAll() {
        started.forEach(Service::stop);
        network.stop();
    }

    private void startReplica(int number, List<String> peers, List<String> seeds) {
        start(number, folder.resolve("data-" + number).toString(), peers, seeds);
    }

    private void startWithoutDisk(int number, List<String> seeds) {
        start(number, "", seeds, seeds);
    }

    private void start(int number, String dataFolder, List<String> peers, List<String> seeds) {
        start(number, dataFolder, peers, seeds, true);
    }

    private void start(int number, String dataFolder, List<String> peers, List<String> seeds, boolean firstStart) {
        ControlSettings settings = new ControlSettings(
                new HostName("control-" + number),
                new ZoneName("zone-a"),
                addresses.get(number),
                "",
                "",
                dataFolder,
                peers,
                "",
                firstStart,
                VOTERS,
                10,
                1,
                List.of());
        Service process = ControlMain.create(
                settings, () -> seeds, (effective, processNetwork, health) -> new Service.Compound(List.of()));
        process.start();
        started.add(process);
    }

    private ControlReply callVia(int number) throws Exception {
        return new ControlClient(network, List.of(addresses.get(number)))
                .call(new GetFleet(), CALL_TIMEOUT)
                .get();
    }

    @Test
    void aProcessWithoutADiskLeadsItsClientsToTheLeader() throws Exception {
        List<String> replicas = addresses.subList(1, PROCESSES);
        for (int number = 1; number < PROCESSES; number++) {
            startReplica(number, replicas, replicas);
        }
        startWithoutDisk(0, List.of(addresses.get(1)));
        assertThat(callVia(0)).isInstanceOf(ControlReply.Fleet.class);
    }

    @Test
    void aGroupIsBootstrappedByThePeersThatHaveADiskAndTheOthersJoinIt() throws Exception {
        List<String> peers = addresses.subList(0, 3);
        startWithoutDisk(0, peers);
        for (int number = 1; number < PROCESSES; number++) {
            startReplica(number, peers, peers);
        }
        assertThat(callVia(1)).isInstanceOf(ControlReply.Fleet.class);
        while (voters().size() < VOTERS) {
            Thread.sleep(20);
        }
        assertThat(voters()).noneMatch(voter -> voter.endsWith(addresses.get(0)));
    }

    /**
     * The settings of the replicas name one process without a disk, which is the only one that another such process knows.
     */
    @Test
    void aLeaderIsFoundThoughTheSettingsNameProcessesWithoutADiskOnly() throws Exception {
        List<String> replicas = addresses.subList(2, PROCESSES);
        List<String> seeds = List.of(addresses.get(0));
        for (int number = 2; number < PROCESSES; number++) {
            startReplica(number, replicas, seeds);
        }
        startWithoutDisk(0, seeds);
        startWithoutDisk(1, seeds);
        assertThat(callVia(0)).isInstanceOf(ControlReply.Fleet.class);
        assertThat(callVia(1)).isInstanceOf(ControlReply.Fleet.class);
    }

    /** No process that the settings name can found a group, and the others do not know of each other. */
    @Test
    void aGroupIsBootstrappedThoughNoPeerHasADisk() throws Exception {
        List<String> peers = addresses.subList(3, PROCESSES);
        for (int number = 0; number < VOTERS; number++) {
            startReplica(number, peers, peers);
        }
        for (int number = VOTERS; number < PROCESSES; number++) {
            startWithoutDisk(number, peers);
        }
        assertThat(callVia(PROCESSES - 1)).isInstanceOf(ControlReply.Fleet.class);
        while (voters().size() < VOTERS) {
            Thread.sleep(20);
        }
        assertThat(voters())
                .allMatch(voter -> addresses.subList(0, VOTERS).stream().anyMatch(voter::endsWith));
    }

    /** The settings do not permit a bootstrap after the first start, but the replicas had not bootstrapped a group in it. */
    @Test
    void aGroupIsBootstrappedAfterARestartOfItsFounder() throws Exception {
        List<String> peers = addresses.subList(0, VOTERS);
        startReplica(0, peers, peers);
        startReplica(1, peers, peers);
        Thread.sleep(500);
        started.remove(0).stop();
        start(0, folder.resolve("data-0").toString(), peers, peers, false);
        startReplica(2, peers, peers);
        assertThat(callVia(1)).isInstanceOf(ControlReply.Fleet.class);
        assertThat(voters()).hasSize(VOTERS);
    }

    private List<String> voters() throws Exception {
        return ((ControlReply.Status) new ControlClient(network, List.of(addresses.get(1)))
                        .callOne(addresses.get(1), new GetStatus(), CALL_TIMEOUT)
                        .get())
                .voters();
    }
}
