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
 * bootstrapped because such a host is among its configured peers.
 */
@Timeout(120)
class LeaderRedirectTest {

    private static final int PROCESSES = 4;

    private static final int DISKLESS = 0;

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
            ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"));
            free.add(socket);
            addresses.add("127.0.0.1:" + socket.getLocalPort());
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

    private void start(int number, List<String> peers) {
        ControlSettings settings = new ControlSettings(
                new HostName("control-" + number),
                new ZoneName("zone-a"),
                addresses.get(number),
                "",
                "",
                number == DISKLESS ? "" : folder.resolve("data-" + number).toString(),
                peers,
                "",
                true,
                3,
                10,
                1,
                List.of());
        Service process = ControlMain.create(
                settings, settings::peers, (effective, processNetwork, health) -> new Service.Compound(List.of()));
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
            start(number, replicas);
        }
        start(DISKLESS, List.of(addresses.get(1)));
        assertThat(callVia(DISKLESS)).isInstanceOf(ControlReply.Fleet.class);
    }

    @Test
    void aGroupIsBootstrappedByThePeersThatHaveADiskAndTheOthersJoinIt() throws Exception {
        List<String> peers = addresses.subList(0, 3);
        for (int number = 0; number < PROCESSES; number++) {
            start(number, peers);
        }
        assertThat(callVia(1)).isInstanceOf(ControlReply.Fleet.class);
        while (voters().size() < 3) {
            Thread.sleep(20);
        }
        assertThat(voters()).noneMatch(voter -> voter.endsWith(addresses.get(DISKLESS)));
    }

    private List<String> voters() throws Exception {
        return ((ControlReply.Status) new ControlClient(network, List.of(addresses.get(1)))
                        .callOne(addresses.get(1), new GetStatus(), CALL_TIMEOUT)
                        .get())
                .voters();
    }
}
