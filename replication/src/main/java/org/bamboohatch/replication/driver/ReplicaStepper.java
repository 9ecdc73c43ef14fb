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
 * Carries out the effects of the consensus in the order that keeps its promises: what may be sent early, then the
 * disk with a single sync, then what may be sent only after it, then the state machine. It has no thread of its own.
 */
public final class ReplicaStepper {

    /** Logger of this part. */
    private static final Logger LOGGER = LogManager.getLogger(ReplicaStepper.class);

    /** Time between two tries to write to a full disk, in milliseconds. */
    private static final long FULL_RETRY_MS = 100;

    /** The consensus. */
    private final ConsensusCore core;

    /** The durable state. */
    private final LogStore store;

    /** The state machine. */
    private final StateMachine machine;

    /** Entries after which a snapshot is taken. */
    private final int snapshotEntries;

    /** Effects that a full disk refused, or null. */
    private Effects unsaved;

    /** Time of the next try to make them durable. */
    private long nextTry;

    /** Hears each applied entry. */
    @FunctionalInterface
    public interface AppliedListener {

        /**
         * Called for each applied entry.
         *
         * @param entry the entry
         * @param result the result of the state machine, null if the entry carries no command
         */
        void onApplied(LogEntry entry, Object result);
    }

    /**
     * Creates a stepper.
     *
     * @param core the consensus
     * @param store the durable state
     * @param machine the state machine, in the state of the consensus' snapshot
     * @param snapshotEntries entries after which a snapshot is taken
     */
    public ReplicaStepper(ConsensusCore core, LogStore store, StateMachine machine, int snapshotEntries) {
        this.core = core;
        this.store = store;
        this.machine = machine;
        this.snapshotEntries = snapshotEntries;
    }

    /**
     * Lets time pass and carries out every effect.
     *
     * @param now the present time, in milliseconds
     * @param transport sends messages
     * @param listener hears each applied entry
     * @throws IOException if the storage fails; nothing more may be acknowledged then
     */
    public void step(long now, Consumer<OutgoingMessage> transport, AppliedListener listener) throws IOException {
        core.tick(now);
        boolean more = unsaved == null || saveAgain(now, transport);
        while (more) {
            Effects effects = core.drain();
            effects.early().forEach(transport);
            if (!save(effects, now)) {
                return;
            }
            core.persisted(core.log().lastIndex(), now);
            effects.late().forEach(transport);
            more = applyCommitted(listener);
        }
    }

    /**
     * Makes effects durable unless the disk is full.
     *
     * @param effects the effects
     * @param now the present time
     * @return whether they are durable; if not, they are kept and nothing is acknowledged meanwhile
     * @throws IOException if the storage failed
     */
    private boolean save(Effects effects, long now) throws IOException {
        try {
            if (effects.needsDisk()) {
                persist(effects);
            }
            unsaved = null;
            return true;
        } catch (DiskFullException full) {
            if (unsaved == null) {
                LOGGER.error("replica: {}; nothing is acknowledged until there is", full.getMessage());
            }
            unsaved = effects;
            nextTry = now + FULL_RETRY_MS;
            return false;
        }
    }

    /**
     * Tries again to make durable what a full disk refused. That it is durable is told with the effects after it.
     *
     * @param now the present time
     * @param transport sends messages
     * @return whether it is durable now
     * @throws IOException if the storage failed
     */
    private boolean saveAgain(long now, Consumer<OutgoingMessage> transport) throws IOException {
        Effects kept = unsaved;
        if (now < nextTry || !save(kept, now)) {
            return false;
        }
        LOGGER.info("replica: the disk has room again");
        kept.late().forEach(transport);
        return true;
    }

    /**
     * Makes effects durable.
     *
     * @param effects the effects
     * @throws IOException if the storage fails
     */
    private void persist(Effects effects) throws IOException {
        if (effects.hardState().isPresent()) {
            store.saveState(effects.hardState().get());
        }
        if (effects.installed().isPresent()) {
            Snapshot snapshot = effects.installed().get();
            store.install(snapshot);
            machine.restore(snapshot.state());
        }
        if (effects.truncateFrom() > 0) {
            store.truncate(effects.truncateFrom());
        }
        store.append(effects.appended());
    }

    /**
     * Applies committed entries and takes a snapshot when it is due.
     *
     * @param listener hears each applied entry
     * @return whether anything was applied
     * @throws IOException if the storage fails
     */
    private boolean applyCommitted(AppliedListener listener) throws IOException {
        boolean any = false;
        for (Optional<LogEntry> next = core.log().nextCommitted();
                next.isPresent();
                next = core.log().nextCommitted()) {
            LogEntry entry = next.get();
            any = true;
            boolean command = entry.kind() == EntryKind.COMMAND;
            Object result = command ? machine.apply(entry.index(), entry.data()) : null;
            listener.onApplied(entry, result);
        }
        if (core.log().appliedIndex() - core.log().snapshot().index() >= snapshotEntries) {
            Snapshot snapshot = core.log().compact(machine.snapshot(), snapshotEntries / 2);
            try {
                store.compact(snapshot, core.log().firstIndex(), core.log().lastIndex() + 1);
            } catch (DiskFullException full) {
                LOGGER.error("replica: the log is not compacted: {}", full.getMessage());
            }
        }
        return any;
    }
}
