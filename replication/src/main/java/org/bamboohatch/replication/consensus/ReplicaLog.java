package org.bamboohatch.replication.consensus;

import java.util.Optional;

import org.bamboohatch.kernel.service.Invariant;
import org.bamboohatch.replication.message.EntryKind;
import org.bamboohatch.replication.message.LogEntry;
import org.bamboohatch.replication.message.Membership;
import org.bamboohatch.replication.message.ReplicaMessage.AppendRequest;
import org.bamboohatch.replication.message.ReplicaMessage.VoteRequest;
import org.bamboohatch.replication.message.Snapshot;

/** The log of one replica with its memberships, its commit index and its applied index. */
public final class ReplicaLog {

    private final MemoryLog log;

    private final MembershipHistory memberships;

    private long commitIndex;

    /** Index of the last entry that was passed to the state machine. */
    private long appliedIndex;

    /** Effects of the steps since the last drain. */
    private Effects effects = new Effects();

    ReplicaLog(MemoryLog log) {
        this.log = log;
        this.memberships = new MembershipHistory(log.snapshot());
        for (long index = log.snapshot().index() + 1; index <= log.lastIndex(); index++) {
            memberships.onAppended(log.entry(index));
        }
        this.commitIndex = log.snapshot().index();
        this.appliedIndex = commitIndex;
    }

    MemoryLog entries() {
        return log;
    }

    /**
     * Returns the index of the first entry that is retained in memory.
     *
     * @return the log index
     */
    public long firstIndex() {
        return log.firstIndex();
    }

    /**
     * Returns the index of the last entry.
     *
     * @return the log index, zero for an empty log
     */
    public long lastIndex() {
        return log.lastIndex();
    }

    /**
     * Returns the size of the data of the entries that are retained in memory.
     *
     * @return the size in bytes
     */
    public long dataBytes() {
        return log.dataBytes();
    }

    /**
     * Returns the latest snapshot.
     *
     * @return the snapshot, {@link Snapshot#EMPTY} if none was taken
     */
    public Snapshot snapshot() {
        return log.snapshot();
    }

    Effects effects() {
        return effects;
    }

    Effects drain() {
        Effects drained = effects;
        effects = new Effects();
        return drained;
    }

    Membership membership() {
        return memberships.latest();
    }

    long membershipIndex() {
        return memberships.latestIndex();
    }

    public long commitIndex() {
        return commitIndex;
    }

    public long appliedIndex() {
        return appliedIndex;
    }

    /**
     * Advances the commit index. An index below the current one is ignored.
     *
     * @param index the new commit index
     */
    void commit(long index) {
        commitIndex = Math.max(commitIndex, index);
    }

    /**
     * Returns the next committed entry for the state machine and marks it as applied.
     *
     * @return the entry, or empty if all committed entries are applied
     */
    public Optional<LogEntry> nextCommitted() {
        if (appliedIndex >= commitIndex) {
            return Optional.empty();
        }
        appliedIndex++;
        return Optional.of(log.entry(appliedIndex));
    }

    /**
     * Appends a new entry as the leader.
     *
     * @param term the leader's term
     * @param kind the kind of the entry
     * @param data the data of the entry
     * @return the appended entry
     */
    LogEntry appendAsLeader(long term, EntryKind kind, byte[] data) {
        LogEntry entry = new LogEntry(log.lastIndex() + 1, term, kind, data);
        store(entry);
        return entry;
    }

    /**
     * Indicates whether the log of a candidate is at least as advanced as this one.
     *
     * @param request the vote request
     * @return {@code true} if the candidate has all entries that may be committed here
     */
    boolean isContainedIn(VoteRequest request) {
        return request.lastTerm() > entries().lastTerm()
                || request.lastTerm() == entries().lastTerm()
                        && request.lastIndex() >= entries().lastIndex();
    }

    /**
     * Indicates whether the entry that precedes the carried ones matches this log.
     *
     * @param request the append request
     * @return {@code true} if the entries can be appended
     */
    boolean matches(AppendRequest request) {
        return request.previousIndex() < commitIndex || log.term(request.previousIndex()) == request.previousTerm();
    }

    /**
     * Returns the index at which the leader should retry after a mismatch.
     *
     * @param request the append request that did not match
     * @return the highest index at which the logs may match
     */
    long backtrackIndex(AppendRequest request) {
        return Math.max(commitIndex, Math.min(log.lastIndex(), request.previousIndex() - 1));
    }

    /**
     * Appends the entries of a matching request. Conflicting entries are replaced; entries that are already committed
     * here are skipped. Advances the commit index.
     *
     * @param request the append request
     * @return the index up to which this log is known to match the leader's log
     */
    long acceptAppend(AppendRequest request) {
        for (LogEntry entry : request.entries()) {
            if (entry.index() <= commitIndex || log.term(entry.index()) == entry.term()) {
                continue;
            }
            if (entry.index() <= log.lastIndex()) {
                log.truncate(entry.index());
                memberships.onTruncated(entry.index());
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
     * Replaces the log with a snapshot unless the snapshot is older than the commit index. A log that contains the
     * snapshot's last entry is kept, because later entries may have been acknowledged.
     *
     * @param snapshot the snapshot from the leader
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
     * Replaces the applied part of the log with a snapshot.
     *
     * @param state the encoded state of the state machine after the last applied entry
     * @param retainedEntries the maximum number of entries to retain for slow followers
     * @param retainedBytes the maximum size of the data of these entries, in bytes
     * @return the snapshot to make durable
     */
    public Snapshot compact(byte[] state, int retainedEntries, long retainedBytes) {
        Snapshot snapshot =
                new Snapshot(appliedIndex, log.term(appliedIndex), memberships.membershipAt(appliedIndex), state);
        log.compact(snapshot, retainedEntries, retainedBytes);
        return snapshot;
    }

    private void store(LogEntry entry) {
        Invariant.check(
                entry.index() > commitIndex, () -> "committed entry " + entry.index() + " would be overwritten");
        log.append(entry);
        memberships.onAppended(entry);
        effects.append(entry);
    }
}
