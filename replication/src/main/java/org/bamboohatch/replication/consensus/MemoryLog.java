package org.bamboohatch.replication.consensus;

import java.util.ArrayList;
import java.util.List;

import org.bamboohatch.kernel.service.Invariant;
import org.bamboohatch.replication.message.LogEntry;
import org.bamboohatch.replication.message.Snapshot;

/** The entries after the last snapshot, held in memory. */
final class MemoryLog {

    /** The snapshot that the entries follow. */
    private Snapshot snapshot;

    /** The entries after {@link #offset}. */
    private final List<LogEntry> entries = new ArrayList<>();

    /** Index of the entry before the first one held. */
    private long offset;

    /** Term of the entry before the first one held. */
    private long offsetTerm;

    /**
     * Creates a log.
     *
     * @param snapshot the snapshot
     * @param stored the stored entries, which may begin before the snapshot's end
     */
    MemoryLog(Snapshot snapshot, List<LogEntry> stored) {
        this.snapshot = snapshot;
        this.offset = snapshot.index();
        this.offsetTerm = snapshot.term();
        for (LogEntry entry : stored) {
            if (entry.index() > offset) {
                append(entry);
            }
        }
    }

    /**
     * Returns the last snapshot.
     *
     * @return the snapshot
     */
    Snapshot snapshot() {
        return snapshot;
    }

    /**
     * Returns the index of the first entry held.
     *
     * @return the index
     */
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

    /**
     * Returns the term of the last entry.
     *
     * @return the term
     */
    long lastTerm() {
        return term(lastIndex());
    }

    /**
     * Returns the term of an entry.
     *
     * @param index index of the entry
     * @return its term, or -1 if the entry is not held
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

    /**
     * Returns an entry.
     *
     * @param index index of the entry
     * @return the entry
     */
    LogEntry entry(long index) {
        return entries.get((int) (index - offset - 1));
    }

    /**
     * Returns a run of entries.
     *
     * @param from index of the first one
     * @param maximumEntries the number of entries at most
     * @param maximumBytes the bytes at most, though one entry is always returned
     * @return the entries
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

    /**
     * Appends an entry.
     *
     * @param entry the entry that follows the last one
     */
    void append(LogEntry entry) {
        Invariant.check(
                entry.index() == lastIndex() + 1, () -> "entry " + entry.index() + " does not follow " + lastIndex());
        entries.add(entry);
    }

    /**
     * Drops an entry and all that follow it.
     *
     * @param from index of the first dropped entry
     */
    void truncate(long from) {
        entries.subList((int) (from - offset - 1), entries.size()).clear();
    }

    /**
     * Takes a snapshot of the log's beginning and keeps some entries before its end for slow followers.
     *
     * @param taken the snapshot
     * @param retained entries to keep before its end
     */
    void compact(Snapshot taken, int retained) {
        snapshot = taken;
        long newOffset = Math.max(offset, taken.index() - retained);
        long newTerm = term(newOffset);
        entries.subList(0, (int) (newOffset - offset)).clear();
        offset = newOffset;
        offsetTerm = newTerm;
    }

    /**
     * Replaces the log by a snapshot.
     *
     * @param installed the snapshot
     */
    void reset(Snapshot installed) {
        snapshot = installed;
        entries.clear();
        offset = installed.index();
        offsetTerm = installed.term();
    }
}
