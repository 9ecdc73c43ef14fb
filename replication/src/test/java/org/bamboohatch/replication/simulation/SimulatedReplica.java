package org.bamboohatch.replication.simulation;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

import org.bamboohatch.kernel.id.HostName;
import org.bamboohatch.kernel.id.ReplicaId;
import org.bamboohatch.replication.StateMachine;
import org.bamboohatch.replication.consensus.ConsensusCore;
import org.bamboohatch.replication.consensus.ConsensusTiming;
import org.bamboohatch.replication.consensus.OutgoingMessage;
import org.bamboohatch.replication.driver.ReplicaStepper;
import org.bamboohatch.replication.message.LogEntry;
import org.bamboohatch.replication.message.Member;
import org.bamboohatch.replication.message.Snapshot;
import org.bamboohatch.replication.storage.FakeDisk;
import org.bamboohatch.replication.storage.LogStore;

/** One replica with the real consensus, stepper and store on a fake disk. */
final class SimulatedReplica {

    /** Entries after which a snapshot is taken, small so that snapshots are common. */
    private static final int SNAPSHOT_ENTRIES = 12;

    /** The host. */
    final HostName host;

    /** Rate of the replica's clock. */
    final double clockRate;

    /** The disk. */
    FakeDisk disk = new FakeDisk();

    /** The consensus, null while the replica is down. */
    ConsensusCore core;

    /** Identity of the replica. */
    Member member;

    /** Whether the replica stands still. */
    boolean paused;

    /** Applied entries in the order in which this start applied them. */
    final List<LogEntry> applied = new ArrayList<>();

    private final SimulatedCluster cluster;
    private final SplittableRandom random;
    private ReplicaStepper stepper;
    private int identities;

    SimulatedReplica(SimulatedCluster cluster, String name, double clockRate, SplittableRandom random) {
        this.cluster = cluster;
        this.host = new HostName(name);
        this.clockRate = clockRate;
        this.random = random;
        this.member = new Member(nextIdentity(), host, name);
    }

    /** The applied commands, as text. */
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
        identities++;
        return new ReplicaId(host + "-" + identities);
    }

    long now() {
        return (long) (cluster.now * clockRate);
    }

    void form(Snapshot founding) throws IOException {
        LogStore store = new LogStore(disk, this::nextIdentity);
        member = new Member(store.load(host).identity().replica(), host, host.value());
        if (founding != null) {
            store.install(founding);
        }
    }

    void start() throws IOException {
        LogStore store = new LogStore(disk, this::nextIdentity);
        LogStore.StoredState loaded = store.load(host);
        member = new Member(loaded.identity().replica(), host, host.value());
        TextMachine machine = new TextMachine();
        machine.restore(loaded.snapshot().state());
        applied.clear();
        core = new ConsensusCore(
                member.replica(),
                ConsensusTiming.DEFAULT,
                random.split(),
                loaded.state(),
                loaded.snapshot(),
                loaded.entries(),
                0,
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
