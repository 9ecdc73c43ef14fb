package org.bamboohatch.replication.driver;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import org.bamboohatch.kernel.event.Timeline;
import org.bamboohatch.kernel.id.HostName;
import org.bamboohatch.kernel.id.ZoneName;
import org.bamboohatch.protocol.transport.FrameServer;
import org.bamboohatch.protocol.transport.Network;
import org.bamboohatch.replication.StateMachine;
import org.bamboohatch.replication.consensus.ConsensusTiming;
import org.bamboohatch.replication.consensus.Role;
import org.bamboohatch.replication.message.ReplicaMessage;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against acknowledged changes that are lost with as many disks as the group is meant to tolerate, because it has
 * fewer voters than that takes and commits with fewer copies.
 */
@Timeout(120)
class TooFewReplicasTest {

    private static final int FOUNDERS = 3;

    /** Voters that the loss of two disks takes. */
    private static final int DESIRED_VOTERS = 5;

    private static final long COMMIT_MS = 3_000;

    @TempDir
    private Path folder;

    private final Network network = new Network(2, new Timeline("test", 16));

    private final List<String> addresses = new ArrayList<>();

    private final List<ReplicaService> replicas = new ArrayList<>();

    private final List<FrameServer> servers = new ArrayList<>();

    /** State machine that returns the index of each command. */
    private static final class IndexMachine implements StateMachine {

        @Override
        public Object apply(long index, byte[] command) {
            return index;
        }

        @Override
        public byte[] snapshot() {
            return new byte[0];
        }

        @Override
        public void restore(byte[] state) {
            // Holds no state.
        }
    }

    @AfterEach
    void stopAll() {
        servers.forEach(FrameServer::stop);
        replicas.forEach(ReplicaService::stop);
        network.stop();
    }

    private void startAll() throws IOException {
        for (int number = 0; number < FOUNDERS; number++) {
            try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getByName("127.0.71." + (number + 1)))) {
                addresses.add("127.0.71." + (number + 1) + ":" + free.getLocalPort());
            }
        }
        for (int number = 0; number < FOUNDERS; number++) {
            HostName host = new HostName("host-" + number);
            ReplicaService replica = new ReplicaService(
                    new ReplicaSettings(
                            host,
                            new ZoneName("zone-" + number),
                            addresses.get(number),
                            folder.resolve("data-" + number),
                            addresses,
                            host,
                            100,
                            true,
                            DESIRED_VOTERS,
                            ConsensusTiming.DEFAULT),
                    new IndexMachine(),
                    network);
            replica.start();
            replicas.add(replica);
            FrameServer server = new FrameServer(network, addresses.get(number), (request, exchange) -> {
                if (request instanceof ReplicaMessage.Envelope envelope) {
                    replica.receive(envelope);
                } else if (request instanceof ReplicaMessage message) {
                    replica.receive(message);
                }
            });
            server.start();
            servers.add(server);
        }
    }

    private ReplicaService awaitLeader() throws Exception {
        while (true) {
            for (ReplicaService replica : replicas) {
                CompletableFuture<Boolean> leads = new CompletableFuture<>();
                replica.execute(() -> leads.complete(replica.core().role() == Role.LEADER));
                if (leads.get()) {
                    return replica;
                }
            }
            TimeUnit.MILLISECONDS.sleep(10);
        }
    }

    private static CompletableFuture<ProposalResult> propose(ReplicaService leader) {
        return leader.propose(() -> "change".getBytes(StandardCharsets.UTF_8));
    }

    @Test
    void aChangeIsAcknowledgedOnlyWhenAsManyReplicasHoldItAsTheToleranceNeeds() throws Exception {
        startAll();
        ReplicaService leader = awaitLeader();
        assertThat(propose(leader).get()).isInstanceOf(ProposalResult.Applied.class);

        int lost = (replicas.indexOf(leader) + 1) % FOUNDERS;
        servers.get(lost).stop();
        CompletableFuture<ProposalResult> change = propose(leader);
        TimeUnit.MILLISECONDS.sleep(COMMIT_MS);
        assertThat(change).as("two of three copies").isNotDone();

        servers.get(lost).start();
        assertThat(change.get()).isInstanceOf(ProposalResult.Applied.class);
    }
}
