package org.bamboohatch.replication.consensus;

import java.util.ArrayList;
import java.util.List;

import org.bamboohatch.kernel.service.Invariant;
import org.bamboohatch.replication.message.LogEntry;
import org.bamboohatch.replication.message.Snapshot;

/** In-memory log: the latest snapshot and the entries that follow it or are retained before its end. */
final class MemoryLog {

    private Snapshot snapshot;

    /** Entries after {@link #offset}. */
    private final List<LogEntry> entries = new ArrayList<>();

    /** Size of the data of the retained entries, in bytes. */
    private long dataBytes;

    /** Index of the entry before the first retained one. */
    private long offset;

    /** Term of the entry at {@link #offset}. */
    private long offsetTerm;

    /**
     * Creates a log from stored data.
     *
     * @param snapshot the latest snapshot
     * @param storedEntries the stored entries; those covered by the snapshot are skipped
     */
    MemoryLog(Snapshot snapshot, List<LogEntry> storedEntries) {
        this.snapshot = snapshot;
        this.offset = snapshot.index();
        this.offsetTerm = snapshot.term();
        for (LogEntry entry : storedEntries) {
            if (entry.index() > offset) {
                append(entry);
            }
        }
    }

    Snapshot snapshot() {
        return snapshot;
    }

    long firstIndex() {
        return offset + 1;
    }

    /**
     * Returns the index of the last entry.
     *
     * @return the index, zero for an empty log
     */
    long lastIndex() {
        return offset + entries.size();
    }

    long lastTerm() {
        return term(lastIndex());
    }

    /**
     * Returns the term of an entry.
     *
     * @param index the log index
     * @return the term of the entry, or -1 if the entry is not retained
     */
    long term(long index) {
        if (index == offset) {
            return offsetTerm;
        }
        if (index < offset || index > lastIndex()) {
            return -1;
        }
        return entry(index).term();
    }

    LogEntry entry(long index) {
        return entries.get((int) (index - offset - 1));
    }

    /**
     * Returns consecutive entries within size limits.
     *
     * @param from the index of the first entry
     * @param maximumEntries the maximum number of entries
     * @param maximumBytes the maximum size of the entries' data in bytes, which the first entry may exceed
     * @return the entries, empty if there are none from the index on
     */
    List<LogEntry> slice(long from, int maximumEntries, int maximumBytes) {
        List<LogEntry> slice = new ArrayList<>();
        int bytes = 0;
        for (long index = from; index <= lastIndex() && slice.size() < maximumEntries; index++) {
            LogEntry entry = entry(index);
            bytes += entry.data().length;
            if (bytes > maximumBytes && !slice.isEmpty()) {
                break;
            }
            slice.add(entry);
        }
        return slice;
    }

    void append(LogEntry entry) {
        Invariant.check(
                entry.index() == lastIndex() + 1,
                () -> "entry " + entry.index() + " does not follow the last entry " + lastIndex());
        entries.add(entry);
        dataBytes += entry.data().length;
    }

    /**
     * Returns the size of the data of the retained entries.
     *
     * @return the size in bytes
     */
    long dataBytes() {
        return dataBytes;
    }

    private void removeRange(int from, int to) {
        List<LogEntry> removed = entries.subList(from, to);
        dataBytes -= removed.stream().mapToLong(entry -> entry.data().length).sum();
        removed.clear();
    }

    void truncate(long from) {
        removeRange((int) (from - offset - 1), entries.size());
    }

    /**
     * Records a snapshot and removes the entries before it, except for some that slow followers may still need.
     *
     * @param newSnapshot the snapshot of the applied entries
     * @param retainedEntries the maximum number of entries to retain up to the snapshot's index
     * @param retainedBytes the maximum size of the data of these entries, in bytes
     */
    void compact(Snapshot newSnapshot, int retainedEntries, long retainedBytes) {
        snapshot = newSnapshot;
        long newOffset = newSnapshot.index();
        long bytes = 0;
        while (newOffset > Math.max(offset, newSnapshot.index() - retainedEntries)) {
            bytes += entry(newOffset).data().length;
            if (bytes > retainedBytes) {
                break;
            }
            newOffset--;
        }
        long newTerm = term(newOffset);
        removeRange(0, (int) (newOffset - offset));
        offset = newOffset;
        offsetTerm = newTerm;
    }

    /**
     * Replaces the log with a snapshot.
     *
     * @param newSnapshot the snapshot from the leader
     */
    void reset(Snapshot newSnapshot) {
        snapshot = newSnapshot;
        entries.clear();
        dataBytes = 0;
        offset = newSnapshot.index();
        offsetTerm = newSnapshot.term();
    }
}
