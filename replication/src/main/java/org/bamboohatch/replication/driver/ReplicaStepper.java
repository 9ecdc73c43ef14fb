package org.bamboohatch.replication.driver;

import java.io.IOException;
import java.util.Optional;
import java.util.function.Consumer;

import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.bamboohatch.replication.StateMachine;
import org.bamboohatch.replication.consensus.ConsensusCore;
import org.bamboohatch.replication.consensus.Effects;
import org.bamboohatch.replication.consensus.OutgoingMessage;
import org.bamboohatch.replication.message.EntryKind;
import org.bamboohatch.replication.message.LogEntry;
import org.bamboohatch.replication.message.Snapshot;
import org.bamboohatch.replication.storage.DiskFullException;
import org.bamboohatch.replication.storage.LogStore;

/**
 * Carries out the effects of the consensus in the order that its guarantees require: messages that do not depend on
 * durability, then disk writes with a single sync of the log, then messages that depend on it, then the state machine.
 * The stepper has no thread of its own.
 */
public final class ReplicaStepper {

    private static final Logger LOGGER = LogManager.getLogger(ReplicaStepper.class);

    private static final long DISK_FULL_RETRY_INTERVAL_MS = 100;

    /**
     * Size of the data of the log at which a snapshot is taken, in bytes. A log of large configurations would otherwise
     * fill memory and disk before it has as many entries as a snapshot takes.
     */
    static final long MAX_LOG_BYTES = 8L * 1024 * 1024;

    private final ConsensusCore core;

    private final LogStore store;

    private final StateMachine stateMachine;

    private final int snapshotEntries;

    /** Effects that could not be written because the disk is full, or {@code null}. */
    private Effects unpersistedEffects;

    private long nextPersistAttempt;

    /** Receives applied log entries. */
    @FunctionalInterface
    public interface AppliedListener {

        /**
         * Invoked for each applied entry.
         *
         * @param entry the applied entry
         * @param result the result from the state machine, or {@code null} if the entry carries no command
         */
        void onApplied(LogEntry entry, Object result);
    }

    /**
     * Creates a stepper for one replica.
     *
     * @param core the consensus state
     * @param store the durable state
     * @param stateMachine the state machine, restored to the latest snapshot of the consensus state
     * @param snapshotEntries the number of applied entries after which a snapshot is taken
     */
    public ReplicaStepper(ConsensusCore core, LogStore store, StateMachine stateMachine, int snapshotEntries) {
        this.core = core;
        this.store = store;
        this.stateMachine = stateMachine;
        this.snapshotEntries = snapshotEntries;
    }

    /**
     * Advances time and carries out all effects. While the disk is full, nothing is acknowledged and the write is
     * repeated at intervals.
     *
     * @param now the current time in milliseconds
     * @param transport sends messages to other replicas
     * @param listener invoked for each applied entry
     * @throws IOException if the storage fails; nothing more may be acknowledged then
     */
    public void step(long now, Consumer<OutgoingMessage> transport, AppliedListener listener) throws IOException {
        core.tick(now);
        boolean more = unpersistedEffects == null || retryPersist(now, transport);
        while (more) {
            Effects effects = core.drain();
            effects.beforeSync().forEach(transport);
            if (!tryPersist(effects, now)) {
                return;
            }
            core.onPersisted(core.log().lastIndex(), now);
            effects.afterSync().forEach(transport);
            more = applyCommitted(listener);
        }
    }

    /**
     * Makes effects durable unless the disk is full. If it is, the effects are kept for another attempt and nothing is
     * acknowledged until then.
     *
     * @param effects the effects to write
     * @param now the current time in milliseconds
     * @return {@code true} if the effects are durable
     * @throws IOException if the storage fails for another reason
     */
    private boolean tryPersist(Effects effects, long now) throws IOException {
        try {
            if (effects.requiresPersistence()) {
                persist(effects);
            }
            unpersistedEffects = null;
            return true;
        } catch (DiskFullException full) {
            if (unpersistedEffects == null) {
                LOGGER.error("replica: {}; nothing is acknowledged until the write succeeds", full.getMessage());
            }
            unpersistedEffects = effects;
            nextPersistAttempt = now + DISK_FULL_RETRY_INTERVAL_MS;
            return false;
        }
    }

    /**
     * Repeats a write that failed because the disk was full. The consensus state is notified of the durable entries
     * together with those of the effects that follow.
     *
     * @param now the current time in milliseconds
     * @param transport sends messages to other replicas
     * @return {@code true} if the effects are durable now
     * @throws IOException if the storage fails for another reason
     */
    private boolean retryPersist(long now, Consumer<OutgoingMessage> transport) throws IOException {
        Effects retried = unpersistedEffects;
        if (now < nextPersistAttempt || !tryPersist(retried, now)) {
            return false;
        }
        LOGGER.info("replica: the disk is no longer full, the pending write succeeded");
        retried.afterSync().forEach(transport);
        return true;
    }

    private void persist(Effects effects) throws IOException {
        if (effects.hardState().isPresent()) {
            store.saveState(effects.hardState().get());
        }
        if (effects.installedSnapshot().isPresent()) {
            Snapshot snapshot = effects.installedSnapshot().get();
            store.install(snapshot);
            stateMachine.restore(snapshot.state());
        }
        if (effects.truncateFrom() > 0) {
            store.truncate(effects.truncateFrom());
        }
        store.append(effects.appendedEntries());
    }

    /**
     * Applies committed entries and takes a snapshot when enough entries were applied since the previous one, or when the
     * log is large.
     *
     * @param listener invoked for each applied entry
     * @return {@code true} if any entry was applied
     * @throws IOException if the storage fails
     */
    private boolean applyCommitted(AppliedListener listener) throws IOException {
        boolean applied = false;
        for (Optional<LogEntry> next = core.log().nextCommitted();
                next.isPresent();
                next = core.log().nextCommitted()) {
            LogEntry entry = next.get();
            applied = true;
            boolean command = entry.kind() == EntryKind.COMMAND;
            Object result = command ? stateMachine.apply(entry.index(), entry.data()) : null;
            listener.onApplied(entry, result);
        }
        long appliedSinceSnapshot =
                core.log().appliedIndex() - core.log().snapshot().index();
        boolean large = appliedSinceSnapshot > 0 && core.log().dataBytes() >= MAX_LOG_BYTES;
        if (large || appliedSinceSnapshot >= snapshotEntries) {
            Snapshot snapshot = core.log().compact(stateMachine.snapshot(), snapshotEntries / 2, MAX_LOG_BYTES / 2);
            try {
                store.compact(snapshot, core.log().firstIndex(), core.log().lastIndex() + 1);
            } catch (DiskFullException full) {
                LOGGER.error("replica: log compaction on disk failed: {}", full.getMessage());
            }
        }
        return applied;
    }
}
