package org.bamboohatch.replication.consensus;

import java.util.Optional;

import org.bamboohatch.kernel.service.Invariant;
import org.bamboohatch.replication.message.EntryKind;
import org.bamboohatch.replication.message.LogEntry;
import org.bamboohatch.replication.message.Membership;
import org.bamboohatch.replication.message.ReplicaMessage.AppendRequest;
import org.bamboohatch.replication.message.Snapshot;

/** The log of one replica with its memberships and its progress in committing and applying. */
public final class ReplicaLog {

    /** The entries. */
    private final MemoryLog log;

    /** The memberships in the log. */
    private final MembershipHistory memberships;

    /** Index of the last committed entry. */
    private long commitIndex;

    /** Index of the last entry handed to the state machine. */
    private long appliedIndex;

    /** What is to be done because of the steps since the last drain. */
    private Effects effects = new Effects();

    /**
     * Creates a log.
     *
     * @param log the entries
     */
    ReplicaLog(MemoryLog log) {
        this.log = log;
        this.memberships = new MembershipHistory(log.snapshot());
        for (long index = log.snapshot().index() + 1; index <= log.lastIndex(); index++) {
            memberships.appended(log.entry(index));
        }
        this.commitIndex = log.snapshot().index();
        this.appliedIndex = commitIndex;
    }

    /**
     * Returns the entries.
     *
     * @return the entries
     */
    MemoryLog entries() {
        return log;
    }

    /**
     * Returns the index of the first entry held in memory.
     *
     * @return the index
     */
    public long firstIndex() {
        return log.firstIndex();
    }

    /**
     * Returns the index of the last entry.
     *
     * @return the index
     */
    public long lastIndex() {
        return log.lastIndex();
    }

    /**
     * Returns the last snapshot.
     *
     * @return the snapshot
     */
    public Snapshot snapshot() {
        return log.snapshot();
    }

    /**
     * Returns what is to be done.
     *
     * @return the effects so far
     */
    Effects effects() {
        return effects;
    }

    /**
     * Takes what is to be done.
     *
     * @return the effects since the last call
     */
    Effects drain() {
        Effects drained = effects;
        effects = new Effects();
        return drained;
    }

    /**
     * Returns the membership in force.
     *
     * @return the latest membership in the log
     */
    Membership membership() {
        return memberships.latest();
    }

    /**
     * Returns the index of the membership in force.
     *
     * @return the index
     */
    long membershipIndex() {
        return memberships.latestIndex();
    }

    /**
     * Returns the index of the last committed entry.
     *
     * @return the index
     */
    public long commitIndex() {
        return commitIndex;
    }

    /**
     * Returns the index of the last applied entry.
     *
     * @return the index
     */
    public long appliedIndex() {
        return appliedIndex;
    }

    /**
     * Advances the commit index.
     *
     * @param index the new commit index; an older one changes nothing
     */
    void commit(long index) {
        commitIndex = Math.max(commitIndex, index);
    }

    /**
     * Takes the next committed entry for the state machine.
     *
     * @return the entry, if there is one
     */
    public Optional<LogEntry> nextCommitted() {
        if (appliedIndex >= commitIndex) {
            return Optional.empty();
        }
        appliedIndex++;
        return Optional.of(log.entry(appliedIndex));
    }

    /**
     * Appends an entry of the leader's own.
     *
     * @param term term of the leader
     * @param kind kind of the entry
     * @param data content of the entry
     * @return the entry
     */
    LogEntry appendOwn(long term, EntryKind kind, byte[] data) {
        LogEntry entry = new LogEntry(log.lastIndex() + 1, term, kind, data);
        store(entry);
        return entry;
    }

    /**
     * Tells whether the entry before the carried ones is in the log.
     *
     * @param request the append
     * @return whether the logs match there
     */
    boolean matches(AppendRequest request) {
        return request.previousIndex() < commitIndex || log.term(request.previousIndex()) == request.previousTerm();
    }

    /**
     * Returns the index to go back to after a mismatch.
     *
     * @param request the append
     * @return an index at which the logs may match
     */
    long backFrom(AppendRequest request) {
        return Math.max(commitIndex, Math.min(log.lastIndex(), request.previousIndex() - 1));
    }

    /**
     * Stores the entries of an append that matches; entries that are committed here are skipped.
     *
     * @param request the append
     * @return the index up to which the log is known to be the leader's
     */
    long accept(AppendRequest request) {
        for (LogEntry entry : request.entries()) {
            if (entry.index() <= commitIndex || log.term(entry.index()) == entry.term()) {
                continue;
            }
            if (entry.index() <= log.lastIndex()) {
                log.truncate(entry.index());
                memberships.truncated(entry.index());
                effects.truncate(entry.index());
            }
            store(entry);
        }
        long match = Math.max(
                commitIndex, request.previousIndex() + request.entries().size());
        commit(Math.min(request.commitIndex(), match));
        return match;
    }

    /**
     * Replaces the log by a snapshot, unless it is older than what is committed here. A log that leads up to the
     * snapshot is kept, because entries after it may have been acknowledged.
     *
     * @param snapshot the snapshot
     */
    void install(Snapshot snapshot) {
        if (snapshot.index() <= commitIndex) {
            return;
        }
        if (log.term(snapshot.index()) == snapshot.term()) {
            commit(snapshot.index());
            return;
        }
        log.reset(snapshot);
        memberships.reset(snapshot);
        commitIndex = snapshot.index();
        appliedIndex = snapshot.index();
        effects.install(snapshot);
    }

    /**
     * Replaces the applied part of the log by a snapshot.
     *
     * @param state the state of the state machine after the last applied entry
     * @param retained entries to keep for slow followers
     * @return the snapshot to make durable
     */
    public Snapshot compact(byte[] state, int retained) {
        Snapshot snapshot = new Snapshot(appliedIndex, log.term(appliedIndex), memberships.at(appliedIndex), state);
        log.compact(snapshot, retained);
        return snapshot;
    }

    /**
     * Stores an entry and asks for it to be made durable.
     *
     * @param entry the entry
     */
    private void store(LogEntry entry) {
        Invariant.check(entry.index() > commitIndex, () -> "committed entry " + entry.index() + " would be replaced");
        log.append(entry);
        memberships.appended(entry);
        effects.append(entry);
    }
}
