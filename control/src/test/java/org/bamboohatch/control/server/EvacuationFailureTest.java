package org.bamboohatch.control.server;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.Callable;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;

import org.bamboohatch.control.ControlMain;
import org.bamboohatch.kernel.event.Timeline;
import org.bamboohatch.kernel.id.HostName;
import org.bamboohatch.kernel.id.ZoneName;
import org.bamboohatch.protocol.client.ControlClient;
import org.bamboohatch.protocol.message.ControlReply;
import org.bamboohatch.protocol.message.ControlReply.Changes;
import org.bamboohatch.protocol.message.ControlReply.EvacuationChanged;
import org.bamboohatch.protocol.message.ControlRequest;
import org.bamboohatch.protocol.message.ControlRequest.ChangeEvacuation;
import org.bamboohatch.protocol.message.ControlRequest.GetStatus;
import org.bamboohatch.protocol.message.ControlRequest.Poll;
import org.bamboohatch.protocol.message.EvacuatedZones;
import org.bamboohatch.protocol.message.Message;
import org.bamboohatch.protocol.transport.Network;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

import static org.assertj.core.api.Assertions.assertThat;

/** An order that was committed holds whatever happens to the control processes, which are real ones here. */
@Timeout(240)
class EvacuationFailureTest {

    private static final int PROCESSES = 3;

    private static final ZoneName ZONE = new ZoneName("zone-b");

    private static final ZoneName OTHER = new ZoneName("zone-c");

    private static final long WALL_TIME = 1_700_000_000_000L;

    /** Number of log entries after which a snapshot is taken; the smallest that the settings permit. */
    private static final int SNAPSHOT_ENTRIES = 10;

    private static final Duration CALL_TIMEOUT = Duration.ofSeconds(30);

    private static final Duration PROCESS_TIMEOUT = Duration.ofSeconds(2);

    @TempDir
    private Path folder;

    private final Network network = new Network(1, new Timeline("test", 16));

    private final List<String> addresses = new ArrayList<>();

    private final List<Process> processes = new ArrayList<>();

    @BeforeEach
    void startAll() throws Exception {
        List<ServerSocket> free = new ArrayList<>();
        for (int number = 0; number < PROCESSES; number++) {
            ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"));
            free.add(socket);
            addresses.add("127.0.0.1:" + socket.getLocalPort());
        }
        for (ServerSocket socket : free) {
            socket.close();
        }
        for (int number = 0; number < PROCESSES; number++) {
            processes.add(startProcess(number));
        }
    }

    @AfterEach
    void endAll() throws Exception {
        for (int number = 0; number < processes.size(); number++) {
            kill(number);
        }
        network.stop();
    }

    private Process startProcess(int number) throws IOException {
        Path settings = folder.resolve("control-" + number + ".yaml");
        Files.writeString(
                settings, """
                host: control-%d
                zone: zone-a
                listen: %s
                dataFolder: %s
                peers: %s
                snapshotEntries: %d
                zones: [zone-a, zone-b, zone-c]
                """.formatted(number, addresses.get(number), data(number), addresses, SNAPSHOT_ENTRIES));
        Path log = folder.resolve("control-" + number + ".log");
        return new ProcessBuilder(
                        Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                        "-Xmx96m",
                        "-XX:TieredStopAtLevel=1",
                        "-cp",
                        System.getProperty("java.class.path"),
                        ControlMain.class.getName(),
                        "--settings",
                        settings.toString())
                .redirectErrorStream(true)
                .redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()))
                .start();
    }

    private Path data(int number) {
        return folder.resolve("data-" + number);
    }

    private void kill(int number) throws InterruptedException {
        processes.get(number).destroyForcibly().waitFor();
    }

    private void restart(int number) throws IOException {
        processes.set(number, startProcess(number));
    }

    private Optional<ControlReply.Status> status(int number) throws InterruptedException {
        try {
            return Optional.of((ControlReply.Status) new ControlClient(network, addresses)
                    .callOne(addresses.get(number), new GetStatus(), PROCESS_TIMEOUT)
                    .get());
        } catch (ExecutionException unreachable) {
            return Optional.empty();
        }
    }

    private EvacuatedZones evacuatedAt(int number) throws InterruptedException {
        return status(number).map(ControlReply.Status::evacuated).orElse(EvacuatedZones.NONE);
    }

    private int awaitLeader() throws Exception {
        while (true) {
            for (int number = 0; number < PROCESSES; number++) {
                if (status(number)
                        .filter(status -> status.role().equals("LEADER"))
                        .isPresent()) {
                    return number;
                }
            }
            TimeUnit.MILLISECONDS.sleep(20);
        }
    }

    private static void await(Callable<Boolean> condition) throws Exception {
        while (!condition.call()) {
            TimeUnit.MILLISECONDS.sleep(10);
        }
    }

    /** Sends an order like an operator, who tries one process after the other until one acknowledges it. */
    private EvacuatedZones order(List<String> to, ZoneName zone, boolean evacuated) throws Exception {
        ControlRequest request = new ChangeEvacuation(zone, evacuated, WALL_TIME);
        ControlReply reply = new ControlReply.Undecided("");
        while (!(reply instanceof EvacuationChanged)) {
            reply = new ControlClient(network, to).call(request, CALL_TIMEOUT).get();
        }
        return ((EvacuationChanged) reply).evacuated();
    }

    /** Polls like a gateway that applies no order yet, so that acknowledgements wait for it. */
    private EvacuatedZones poll() throws Exception {
        Poll poll = new Poll(
                new HostName("gateway-1"), ZONE, Long.MAX_VALUE, 0, 0, Long.MAX_VALUE, "127.0.0.1:1", true, 0L);
        ControlReply reply = new ControlReply.Undecided("");
        while (!(reply instanceof Changes)) {
            reply = new ControlClient(network, addresses)
                    .call(poll, CALL_TIMEOUT)
                    .get();
        }
        return ((Changes) reply).evacuated();
    }

    @Test
    void anOrderWhoseLeaderIsLostBeforeTheAcknowledgementHoldsAndIsAcknowledgedByTheNextOne() throws Exception {
        int leader = awaitLeader();
        assertThat(poll()).isEqualTo(EvacuatedZones.NONE);
        CompletableFuture<Message> lost = new ControlClient(network, addresses)
                .callOne(addresses.get(leader), new ChangeEvacuation(ZONE, true, WALL_TIME), CALL_TIMEOUT);
        await(() -> evacuatedAt(leader).contains(ZONE));
        kill(leader);
        lost.exceptionally(failure -> null).get();

        List<String> others = new ArrayList<>(addresses);
        others.remove(leader);
        EvacuatedZones expected = EvacuatedZones.of(WALL_TIME, List.of(ZONE));
        assertThat(order(others, ZONE, true)).as("no second version").isEqualTo(expected);
        assertThat(poll()).as("first reply of the next leader").isEqualTo(expected);
    }

    @Test
    void anOrderSurvivesTheLossOfAllProcessesAndReachesAReplicaWithAnEmptyDisk() throws Exception {
        awaitLeader();
        EvacuatedZones expected = order(addresses, ZONE, true);
        for (int repetition = 0; repetition < 2 * SNAPSHOT_ENTRIES; repetition++) {
            assertThat(order(addresses, OTHER, false)).isEqualTo(expected);
        }
        for (int number = 0; number < PROCESSES; number++) {
            kill(number);
        }
        for (int number = 0; number < PROCESSES; number++) {
            restart(number);
        }
        awaitLeader();
        assertThat(poll()).isEqualTo(expected);
        assertThat(order(addresses, OTHER, false)).isEqualTo(expected);

        int replaced = (awaitLeader() + 1) % PROCESSES;
        kill(replaced);
        try (Stream<Path> files = Files.walk(data(replaced))) {
            files.sorted(Comparator.reverseOrder())
                    .forEach(file -> file.toFile().delete());
        }
        restart(replaced);
        await(() -> evacuatedAt(replaced).equals(expected));
        await(() -> status(replaced)
                .filter(status -> status.voters().stream().anyMatch(voter -> voter.startsWith("control-" + replaced))
                        && status.learners().isEmpty())
                .isPresent());
        EvacuatedZones ended = order(addresses, ZONE, false);
        assertThat(ended.zones()).isEmpty();
        assertThat(ended.version()).isGreaterThan(expected.version());
        for (int number = 0; number < PROCESSES; number++) {
            int process = number;
            await(() -> evacuatedAt(process).equals(ended));
        }
    }

    @Test
    void anOrderForAZoneThatTheSettingsDoNotNameChangesNothing() throws Exception {
        awaitLeader();
        ZoneName unknown = new ZoneName("nowhere");
        for (boolean evacuated : List.of(true, false)) {
            ControlReply reply = new ControlClient(network, addresses)
                    .call(new ChangeEvacuation(unknown, evacuated, WALL_TIME), CALL_TIMEOUT)
                    .get();
            assertThat(reply).isInstanceOf(ControlReply.Invalid.class);
        }
        assertThat(poll()).isEqualTo(EvacuatedZones.NONE);
    }
}
