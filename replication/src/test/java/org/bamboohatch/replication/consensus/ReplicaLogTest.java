package org.bamboohatch.replication.consensus;

import java.util.List;

import org.bamboohatch.kernel.id.ReplicaId;
import org.bamboohatch.kernel.service.Invariant;
import org.bamboohatch.replication.message.EntryKind;
import org.bamboohatch.replication.message.LogEntry;
import org.bamboohatch.replication.message.Membership;
import org.bamboohatch.replication.message.ReplicaMessage.AppendRequest;
import org.bamboohatch.replication.message.Snapshot;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

class ReplicaLogTest {

    private static final ReplicaId LEADER = new ReplicaId("leader");

    private final ReplicaLog log = new ReplicaLog(new MemoryLog(Snapshot.EMPTY, List.of()));

    private static LogEntry entry(long index, long term) {
        return new LogEntry(index, term, EntryKind.COMMAND, new byte[] {1});
    }

    private void append(long previous, long previousTerm, long commit, LogEntry... entries) {
        log.acceptAppend(new AppendRequest(LEADER, 1, previous, previousTerm, List.of(entries), commit, 0));
    }

    @Test
    void matchingSnapshotKeepsLaterEntries() {
        append(0, 0, 1, entry(1, 1), entry(2, 1), entry(3, 1));
        log.install(new Snapshot(2, 1, Membership.EMPTY, new byte[0]));
        assertThat(log.entries().lastIndex()).isEqualTo(3);
        assertThat(log.commitIndex()).isEqualTo(2);
    }

    @Test
    void conflictingSnapshotReplacesLog() {
        append(0, 0, 1, entry(1, 1), entry(2, 1), entry(3, 1));
        log.install(new Snapshot(2, 5, Membership.EMPTY, new byte[0]));
        assertThat(log.entries().lastIndex()).isEqualTo(2);
        assertThat(log.drain().installedSnapshot()).isPresent();
    }

    @Test
    void conflictingEntriesAreReplaced() {
        append(0, 0, 0, entry(1, 1), entry(2, 1));
        append(1, 1, 0, entry(2, 2));
        assertThat(log.entries().term(2)).isEqualTo(2);
    }

    @Test
    void committedEntryIsNotReplaced() {
        append(0, 0, 2, entry(1, 1), entry(2, 1));
        append(1, 1, 2, entry(2, 2));
        assertThat(log.entries().term(2)).isEqualTo(1);
    }

    @Test
    void nonContiguousEntryBreaksInvariant() {
        assertThatThrownBy(() -> append(0, 0, 0, entry(2, 1))).isInstanceOf(Invariant.Violation.class);
    }
}
