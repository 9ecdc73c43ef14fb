package org.bamboohatch.replication.simulation;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

import org.bamboohatch.kernel.id.HostName;
import org.bamboohatch.kernel.id.ReplicaId;
import org.bamboohatch.kernel.id.ZoneName;
import org.bamboohatch.replication.StateMachine;
import org.bamboohatch.replication.consensus.ConsensusCore;
import org.bamboohatch.replication.consensus.ConsensusTiming;
import org.bamboohatch.replication.consensus.OutgoingMessage;
import org.bamboohatch.replication.driver.PeerAddresses;
import org.bamboohatch.replication.driver.ReplicaStepper;
import org.bamboohatch.replication.message.LogEntry;
import org.bamboohatch.replication.message.Member;
import org.bamboohatch.replication.message.Snapshot;
import org.bamboohatch.replication.storage.FakeDisk;
import org.bamboohatch.replication.storage.LogStore;

/** A replica with the production consensus, stepper and store on a fake disk. */
final class SimulatedReplica {

    /** Number of applied entries after which a snapshot is taken; low so that snapshots are frequent. */
    private static final int SNAPSHOT_ENTRIES = 12;

    final HostName host;

    final ZoneName zone;

    /** Speed of the replica's clock relative to the simulated time. */
    final double clockRate;

    FakeDisk disk = new FakeDisk();

    /** Consensus state, or {@code null} while the replica is down. */
    ConsensusCore core;

    /** The current identity, which changes when the disk is lost. */
    Member member;

    boolean paused;

    /** Addresses of the other replicas, which are lost in a crash. */
    PeerAddresses addresses = new PeerAddresses();

    /** Entries applied since the last start, in order. */
    final List<LogEntry> applied = new ArrayList<>();

    private final SimulatedCluster cluster;
    private final SplittableRandom random;
    private ReplicaStepper stepper;
    private int identityCount;

    SimulatedReplica(SimulatedCluster cluster, String name, ZoneName zone, double clockRate, SplittableRandom random) {
        this.cluster = cluster;
        this.host = new HostName(name);
        this.zone = zone;
        this.clockRate = clockRate;
        this.random = random;
        this.member = new Member(nextIdentity(), host, name, zone);
    }

    /** State machine whose state is a hash of all applied commands. */
    private final class TextMachine implements StateMachine {
        private String text = "";

        @Override
        public Object apply(long index, byte[] command) {
            text = Integer.toString((text + new String(command, StandardCharsets.UTF_8)).hashCode());
            cluster.checkState(index, text);
            return text;
        }

        @Override
        public byte[] snapshot() {
            return text.getBytes(StandardCharsets.UTF_8);
        }

        @Override
        public void restore(byte[] state) {
            text = new String(state, StandardCharsets.UTF_8);
        }
    }

    private ReplicaId nextIdentity() {
        identityCount++;
        return new ReplicaId(host + "-" + identityCount);
    }

    long now() {
        return (long) (cluster.now * clockRate);
    }

    void initializeStore(Snapshot bootstrap) throws IOException {
        LogStore store = new LogStore(disk, this::nextIdentity);
        member = new Member(store.load(host).identity().replica(), host, host.value(), zone);
        if (bootstrap != null) {
            store.install(bootstrap);
        }
    }

    void start() throws IOException {
        LogStore store = new LogStore(disk, this::nextIdentity);
        LogStore.StoredState stored = store.load(host);
        member = new Member(stored.identity().replica(), host, host.value(), zone);
        TextMachine machine = new TextMachine();
        machine.restore(stored.snapshot().state());
        applied.clear();
        addresses = new PeerAddresses();
        core = new ConsensusCore(
                member.replica(),
                ConsensusTiming.DEFAULT,
                random.split(),
                stored.state(),
                stored.snapshot(),
                stored.entries(),
                cluster.desiredVoters,
                now());
        stepper = new ReplicaStepper(core, store, machine, SNAPSHOT_ENTRIES);
    }

    void crash() {
        core = null;
        disk.crash(random);
    }

    boolean isUp() {
        return core != null;
    }

    void step() {
        try {
            stepper.step(now(), this::send, (entry, result) -> {
                applied.add(entry);
                cluster.onApplied(this, entry);
            });
        } catch (IOException crashed) {
            crash();
        }
    }

    private void send(OutgoingMessage outgoing) {
        cluster.send(this, outgoing);
    }
}
