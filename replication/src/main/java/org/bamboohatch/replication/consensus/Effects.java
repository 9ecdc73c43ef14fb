package org.bamboohatch.replication.consensus;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import org.bamboohatch.kernel.id.ReplicaId;
import org.bamboohatch.replication.message.LogEntry;
import org.bamboohatch.replication.message.ReplicaMessage;
import org.bamboohatch.replication.message.Snapshot;

/** What the driver must do after a step of the consensus, in the order of the accessors. */
public final class Effects {

    /** Messages that may be sent before anything is durable. */
    private final List<OutgoingMessage> early = new ArrayList<>();

    /** The election state to make durable, if it changed. */
    private HardState hardState;

    /** The snapshot to install, if one came. */
    private Snapshot installed;

    /** Index from which stored entries are dropped, or zero. */
    private long truncateFrom;

    /** Entries to make durable. */
    private final List<LogEntry> appended = new ArrayList<>();

    /** Messages that may be sent only after all of the above is durable. */
    private final List<OutgoingMessage> late = new ArrayList<>();

    /** Creates an empty list of effects. */
    Effects() {}

    /**
     * Adds a message that may be sent before entries are durable, though not before a new term is.
     *
     * @param to the receiver
     * @param message the message
     */
    void sendEarly(ReplicaId to, ReplicaMessage message) {
        (hardState == null ? early : late).add(new OutgoingMessage(to, message));
    }

    /**
     * Adds a message that may be sent only after all else is durable.
     *
     * @param to the receiver
     * @param message the message
     */
    void sendLate(ReplicaId to, ReplicaMessage message) {
        late.add(new OutgoingMessage(to, message));
    }

    /**
     * Asks for the election state to be made durable.
     *
     * @param state the state
     */
    void remember(HardState state) {
        hardState = state;
    }

    /**
     * Asks for a snapshot to be installed in place of the log.
     *
     * @param snapshot the snapshot
     */
    void install(Snapshot snapshot) {
        installed = snapshot;
        truncateFrom = 0;
        appended.clear();
    }

    /**
     * Asks for stored entries to be dropped.
     *
     * @param from index of the first dropped entry
     */
    void truncate(long from) {
        appended.removeIf(entry -> entry.index() >= from);
        truncateFrom = truncateFrom == 0 ? from : Math.min(truncateFrom, from);
    }

    /**
     * Asks for an entry to be made durable.
     *
     * @param entry the entry
     */
    void append(LogEntry entry) {
        appended.add(entry);
    }

    /**
     * Returns the messages that may be sent before anything is durable.
     *
     * @return the messages
     */
    public List<OutgoingMessage> early() {
        return early;
    }

    /**
     * Returns the election state to make durable.
     *
     * @return the state, if it changed
     */
    public Optional<HardState> hardState() {
        return Optional.ofNullable(hardState);
    }

    /**
     * Returns the snapshot to install in place of the log.
     *
     * @return the snapshot, if one came
     */
    public Optional<Snapshot> installed() {
        return Optional.ofNullable(installed);
    }

    /**
     * Returns the index from which stored entries are dropped.
     *
     * @return the index, or zero if none are
     */
    public long truncateFrom() {
        return truncateFrom;
    }

    /**
     * Returns the entries to make durable.
     *
     * @return the entries
     */
    public List<LogEntry> appended() {
        return appended;
    }

    /**
     * Returns the messages that may be sent only after all else is durable.
     *
     * @return the messages
     */
    public List<OutgoingMessage> late() {
        return late;
    }

    /**
     * Tells whether anything must be made durable.
     *
     * @return whether the disk is needed
     */
    public boolean needsDisk() {
        return hardState != null || installed != null || truncateFrom > 0 || !appended.isEmpty();
    }
}
