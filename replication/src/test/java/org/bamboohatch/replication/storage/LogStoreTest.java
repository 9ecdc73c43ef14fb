package org.bamboohatch.replication.storage;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.SplittableRandom;
import java.util.stream.LongStream;

import org.bamboohatch.kernel.id.HostName;
import org.bamboohatch.kernel.id.ReplicaId;
import org.bamboohatch.replication.consensus.HardState;
import org.bamboohatch.replication.message.EntryKind;
import org.bamboohatch.replication.message.LogEntry;
import org.bamboohatch.replication.message.Membership;
import org.bamboohatch.replication.message.Snapshot;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

class LogStoreTest {

    private static final HostName HOST = new HostName("host-1");
    private static final String SEGMENT = "log-00000000000000000001";

    private final FakeDisk disk = new FakeDisk();
    private final SplittableRandom random = new SplittableRandom(1);

    private static LogEntry entry(long index, long term) {
        return new LogEntry(index, term, EntryKind.COMMAND, ("c" + index).getBytes(StandardCharsets.UTF_8));
    }

    private static List<LogEntry> entries(long from, long to) {
        return LongStream.rangeClosed(from, to)
                .mapToObj(index -> entry(index, 1))
                .toList();
    }

    private LogStore.StoredState load() throws IOException {
        return new LogStore(disk).load(HOST);
    }

    private LogStore openStore() throws IOException {
        LogStore store = new LogStore(disk);
        store.load(HOST);
        return store;
    }

    @Test
    void appendedEntriesSurviveCrash() throws IOException {
        openStore().append(entries(1, 5));
        disk.crash(random);
        assertThat(load().entries()).extracting(LogEntry::index).containsExactly(1L, 2L, 3L, 4L, 5L);
    }

    @Test
    void incompleteTailIsTruncated() throws IOException {
        openStore().append(entries(1, 3));
        disk.append(SEGMENT, new byte[] {0, 0, 0, 9, 1, 2, 3});
        assertThat(load().entries()).hasSize(3);
        assertThat(load().entries()).hasSize(3);
    }

    @Test
    void damageBeforeTailIsReportedWithFileAndOffset() throws IOException {
        openStore().append(entries(1, 3));
        disk.damage(SEGMENT, 20);
        assertThatThrownBy(this::load)
                .isInstanceOf(CorruptDataException.class)
                .hasMessageContaining(SEGMENT + " at offset 8");
    }

    @Test
    void newerStorageVersionIsRejected() throws IOException {
        openStore().append(entries(1, 3));
        disk.damage(SEGMENT, 6);
        assertThatThrownBy(this::load).isInstanceOf(CorruptDataException.class).hasMessageContaining("newer");
    }

    @Test
    void missingIdentityIsRejectedIfOtherDataExists() throws IOException {
        openStore().append(entries(1, 3));
        disk.delete("identity");
        assertThatThrownBy(this::load).isInstanceOf(CorruptDataException.class).hasMessageContaining("identity");
    }

    @Test
    void folderOfAnotherHostIsRejected() throws IOException {
        openStore();
        assertThatThrownBy(() -> new LogStore(disk).load(new HostName("host-2")))
                .isInstanceOf(CorruptDataException.class)
                .hasMessageContaining("host-1");
    }

    @Test
    void electionStateSurvivesCrash() throws IOException {
        HardState state = new HardState(7, new ReplicaId("other"));
        openStore().saveState(state);
        disk.crash(random);
        assertThat(load().state()).isEqualTo(state);
    }

    @Test
    void truncationSpansSegments() throws IOException {
        LogStore store = openStore();
        store.append(entries(1, 4));
        store.compact(new Snapshot(2, 1, Membership.EMPTY, new byte[0]), 1, 5);
        store.append(entries(5, 8));
        store.truncate(3);
        store.append(List.of(entry(3, 2)));
        assertThat(load().entries()).extracting(LogEntry::term).containsExactly(1L, 1L, 2L);
    }

    @Test
    void compactionDeletesUnneededSegments() throws IOException {
        LogStore store = openStore();
        store.append(entries(1, 10));
        store.compact(new Snapshot(10, 1, Membership.EMPTY, new byte[0]), 11, 11);
        store.append(entries(11, 12));
        LogStore.StoredState stored = load();
        assertThat(stored.snapshot().index()).isEqualTo(10);
        assertThat(stored.entries()).extracting(LogEntry::index).containsExactly(11L, 12L);
    }

    @Test
    void segmentsOfSupersededLogAreDeleted() throws IOException {
        openStore().append(entries(1, 6));
        byte[] supersededSegment = disk.read(SEGMENT);
        new LogStore(disk).install(new Snapshot(20, 3, Membership.EMPTY, new byte[0]));
        disk.replace(SEGMENT, supersededSegment);
        LogStore store = new LogStore(disk);
        assertThat(store.load(HOST).entries()).isEmpty();
        store.append(List.of(entry(21, 3)));
        assertThat(load().entries()).extracting(LogEntry::index).containsExactly(21L);
    }

    @Test
    void crashDuringFirstAppendLeavesIntactSegment() throws IOException {
        for (int operations = 0; operations < 8; operations++) {
            FakeDisk crashing = new FakeDisk();
            LogStore store = new LogStore(crashing);
            store.load(HOST);
            crashing.crashAfter(operations);
            try {
                store.append(entries(1, 2));
            } catch (FakeDisk.CrashException expected) {
                assertThat(operations).isLessThan(8);
            }
            crashing.crash(random);
            assertThat(new LogStore(crashing).load(HOST).entries().size()).isBetween(0, 2);
        }
    }

    @Test
    void folderIsUsedByOneProcessAtATime(@TempDir Path folder) throws IOException {
        try (LocalDisk first = new LocalDisk(folder)) {
            assertThat(first.list()).isEmpty();
            assertThatThrownBy(() -> new LocalDisk(folder)).hasMessageContaining("another running process");
        }
    }

    @Test
    void reopenedFolderHasWrittenEntriesButNoTemporaryFiles(@TempDir Path folder) throws IOException {
        try (LocalDisk first = new LocalDisk(folder)) {
            LogStore store = new LogStore(first);
            store.load(HOST);
            store.append(entries(1, 3));
            store.truncate(3);
            store.append(List.of(entry(3, 2)));
        }
        Files.writeString(folder.resolve("snapshot.tmp"), "half");
        try (LocalDisk second = new LocalDisk(folder)) {
            assertThat(new LogStore(second).load(HOST).entries())
                    .extracting(LogEntry::term)
                    .containsExactly(1L, 1L, 2L);
            assertThat(second.list()).doesNotContain("snapshot.tmp");
        }
    }
}
