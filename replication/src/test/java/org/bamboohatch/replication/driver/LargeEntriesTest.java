package org.bamboohatch.replication.driver;

import java.io.IOException;
import java.util.List;
import java.util.SplittableRandom;

import org.bamboohatch.kernel.id.HostName;
import org.bamboohatch.kernel.id.ReplicaId;
import org.bamboohatch.replication.StateMachine;
import org.bamboohatch.replication.consensus.ConsensusCore;
import org.bamboohatch.replication.consensus.ConsensusTiming;
import org.bamboohatch.replication.message.Member;
import org.bamboohatch.replication.message.Membership;
import org.bamboohatch.replication.message.Snapshot;
import org.bamboohatch.replication.storage.FakeDisk;
import org.bamboohatch.replication.storage.LogStore;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/** Guards against a log that fills memory and disk although it has few entries, because they are large. */
class LargeEntriesTest {

    private static final HostName HOST = new HostName("host");

    private static final int ENTRY_BYTES = 400_000;

    private static final int ENTRIES = 150;

    /** Number of entries that takes a snapshot, which is not reached. */
    private static final int SNAPSHOT_ENTRIES = 200;

    private final FakeDisk disk = new FakeDisk();

    private long lastApplied;

    private final class LargeState implements StateMachine {

        @Override
        public Object apply(long index, byte[] command) {
            lastApplied = index;
            return index;
        }

        @Override
        public byte[] snapshot() {
            return new byte[ENTRY_BYTES];
        }

        @Override
        public void restore(byte[] state) {
            // The state is not read.
        }
    }

    private long storedBytes() {
        return disk.list().stream().mapToLong(file -> disk.read(file).length).sum();
    }

    private ConsensusCore load(LogStore store) throws IOException {
        LogStore.StoredState stored = store.load(HOST);
        return new ConsensusCore(
                stored.identity().replica(),
                ConsensusTiming.DEFAULT,
                new SplittableRandom(1),
                stored.state(),
                stored.snapshot(),
                stored.entries(),
                1,
                0);
    }

    @Test
    void aLogOfLargeEntriesIsCompactedBeforeItFillsMemoryAndDisk() throws IOException {
        ReplicaId identity = new ReplicaId("one");
        LogStore store = new LogStore(disk, () -> identity);
        store.load(HOST);
        Membership alone = new Membership(List.of(new Member(identity, HOST, "127.0.0.1:1")), List.of());
        store.install(new Snapshot(1, 0, alone, new byte[0]));
        ConsensusCore core = load(store);
        ReplicaStepper stepper = new ReplicaStepper(core, store, new LargeState(), SNAPSHOT_ENTRIES);
        long now = 2_000;
        stepper.step(now, message -> {}, (entry, result) -> {});
        long bound = ReplicaStepper.MAX_LOG_BYTES + ENTRY_BYTES;
        for (int number = 0; number < ENTRIES; number++) {
            assertThat(core.propose(new byte[ENTRY_BYTES], now)).isPresent();
            stepper.step(now, message -> {}, (entry, result) -> {});
            assertThat(core.log().dataBytes()).isLessThanOrEqualTo(bound);
            assertThat(storedBytes()).as("log, retained entries and snapshot").isLessThan(2 * bound);
        }
        assertThat(lastApplied).isEqualTo(core.log().lastIndex());

        assertThat(load(new LogStore(disk, () -> identity)).log().lastIndex()).isEqualTo(lastApplied);
    }
}
