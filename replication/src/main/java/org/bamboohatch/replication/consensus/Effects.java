package org.bamboohatch.replication.consensus;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import org.bamboohatch.kernel.id.ReplicaId;
import org.bamboohatch.replication.message.LogEntry;
import org.bamboohatch.replication.message.ReplicaMessage;
import org.bamboohatch.replication.message.Snapshot;

/** Effects that the driver must carry out after a step of the consensus, in the order of the accessors. */
public final class Effects {

    private final List<OutgoingMessage> beforeSync = new ArrayList<>();

    private HardState hardState;

    private Snapshot installedSnapshot;

    private long truncateFrom;

    private final List<LogEntry> appendedEntries = new ArrayList<>();

    private final List<OutgoingMessage> afterSync = new ArrayList<>();

    Effects() {}

    /**
     * Adds a message that does not depend on the durability of log entries. If the term or vote has changed, the
     * message is deferred until that change is durable.
     *
     * @param to the receiving replica
     * @param message the message to send
     */
    void sendBeforeSync(ReplicaId to, ReplicaMessage message) {
        (hardState == null ? beforeSync : afterSync).add(new OutgoingMessage(to, message));
    }

    /**
     * Adds a message to be sent once all other effects are durable.
     *
     * @param to the receiving replica
     * @param message the message to send
     */
    void sendAfterSync(ReplicaId to, ReplicaMessage message) {
        afterSync.add(new OutgoingMessage(to, message));
    }

    /**
     * Requests that a term and vote be made durable.
     *
     * @param state the new term and vote
     */
    void persistHardState(HardState state) {
        hardState = state;
    }

    /**
     * Requests that a snapshot replace the stored log. Pending truncations and appends are discarded because the
     * snapshot supersedes them.
     *
     * @param snapshot the snapshot to install
     */
    void install(Snapshot snapshot) {
        installedSnapshot = snapshot;
        truncateFrom = 0;
        appendedEntries.clear();
    }

    /**
     * Requests that stored entries be removed.
     *
     * @param from the index of the first removed entry
     */
    void truncate(long from) {
        appendedEntries.removeIf(entry -> entry.index() >= from);
        truncateFrom = truncateFrom == 0 ? from : Math.min(truncateFrom, from);
    }

    void append(LogEntry entry) {
        appendedEntries.add(entry);
    }

    /**
     * Returns the messages that may be sent before anything is durable.
     *
     * @return the messages in sending order
     */
    public List<OutgoingMessage> beforeSync() {
        return beforeSync;
    }

    /**
     * Returns the changed term and vote.
     *
     * @return the state to make durable, or empty if it is unchanged
     */
    public Optional<HardState> hardState() {
        return Optional.ofNullable(hardState);
    }

    /**
     * Returns the snapshot that replaces the stored log.
     *
     * @return the snapshot to install, or empty if there is none
     */
    public Optional<Snapshot> installedSnapshot() {
        return Optional.ofNullable(installedSnapshot);
    }

    /**
     * Returns the index from which stored entries are removed.
     *
     * @return the index of the first removed entry, or zero if no entry is removed
     */
    public long truncateFrom() {
        return truncateFrom;
    }

    /**
     * Returns the entries to make durable after the truncation.
     *
     * @return the entries in log order
     */
    public List<LogEntry> appendedEntries() {
        return appendedEntries;
    }

    /**
     * Returns the messages that may be sent only once all other effects are durable.
     *
     * @return the messages in sending order
     */
    public List<OutgoingMessage> afterSync() {
        return afterSync;
    }

    /**
     * Indicates whether any effect must be written to disk.
     *
     * @return {@code true} if the state, the snapshot or the log changes
     */
    public boolean requiresPersistence() {
        return hardState != null || installedSnapshot != null || truncateFrom > 0 || !appendedEntries.isEmpty();
    }
}
