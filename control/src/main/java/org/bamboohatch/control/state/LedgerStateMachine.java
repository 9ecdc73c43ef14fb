package org.bamboohatch.control.state;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import org.bamboohatch.kernel.id.RunKey;
import org.bamboohatch.kernel.service.Invariant;
import org.bamboohatch.protocol.message.ControlReply.Run;
import org.bamboohatch.protocol.message.ControlReply.RunState;
import org.bamboohatch.protocol.message.ControlRequest.AbandonRun;
import org.bamboohatch.protocol.message.ControlRequest.BeginRun;
import org.bamboohatch.protocol.message.ControlRequest.FinishRun;

/**
 * The ledger of non-idempotent runs. Of {@code begin} and {@code abandon} of one attempt, the one that comes first
 * in the log decides; no clock takes part. Records are forgotten only when every attempt that could still claim
 * them has expired.
 */
public final class LedgerStateMachine {

    /** Age at which an attempt that has not begun can never begin, in milliseconds. */
    public static final long MAX_ATTEMPT_AGE_MS = 3_600_000;

    /** Records at most. */
    public static final int MAX_RECORDS = 1_000_000;

    /** Abandoned attempts of one key at most. */
    private static final int MAX_ABANDONED = 256;

    /** The records, the least recently used first. */
    private final LinkedHashMap<RunKey, LedgerRecord> records = new LinkedHashMap<>();

    /** The present ledger time, in milliseconds. */
    private long time;

    /** Creates an empty ledger. */
    public LedgerStateMachine() {}

    /**
     * One record in a snapshot.
     *
     * @param key the key
     * @param record the record
     */
    public record Entry(RunKey key, LedgerRecord record) {}

    /**
     * The whole ledger in a snapshot.
     *
     * @param time the ledger time
     * @param entries the records, the least recently used first
     */
    public record State(long time, List<Entry> entries) {}

    /**
     * Lets ledger time advance; it never goes back.
     *
     * @param now the leader's ledger time, in milliseconds
     */
    public void advance(long now) {
        time = Math.max(time, now);
    }

    /**
     * Returns the ledger time.
     *
     * @return the time in milliseconds
     */
    public long time() {
        return time;
    }

    /**
     * Counts the records.
     *
     * @return the number of keys
     */
    public int size() {
        return records.size();
    }

    /**
     * Decides a claim.
     *
     * @param request the claim
     * @return granted, or why the claimant must not run the request
     */
    public Run begin(BeginRun request) {
        touch(request.key());
        if (request.attemptTime() < time - MAX_ATTEMPT_AGE_MS) {
            return new Run(RunState.EXPIRED, null);
        }
        LedgerRecord record = records.get(request.key());
        if (record == null) {
            if (records.size() >= MAX_RECORDS) {
                return new Run(RunState.FULL, null);
            }
            record = LedgerRecord.unclaimed(time);
        }
        if (record.bodyHash() != null && !record.bodyHash().equals(request.bodyHash())) {
            return new Run(RunState.BODY_DIFFERS, null);
        }
        if (record.abandoned().contains(request.attempt())) {
            return new Run(RunState.ABANDONED, null);
        }
        if (record.state() == RunState.ABSENT) {
            store(request.key(), record.begun(request.bodyHash(), request.attempt(), request.nonce()));
            return new Run(RunState.GRANTED, null);
        }
        boolean sameClaim = record.state() == RunState.BEGUN && request.nonce().equals(record.nonce());
        return sameClaim ? new Run(RunState.GRANTED, null) : known(record);
    }

    /**
     * Decides that an attempt never runs, unless it has begun.
     *
     * @param request the attempt
     * @return abandoned, or the state of the attempt's run
     */
    public Run abandon(AbandonRun request) {
        touch(request.key());
        if (request.attemptTime() < time - MAX_ATTEMPT_AGE_MS) {
            LedgerRecord record = records.get(request.key());
            boolean ran = record != null && request.attempt().equals(record.attempt());
            return ran ? known(record) : new Run(RunState.ABANDONED, null);
        }
        LedgerRecord record = records.getOrDefault(request.key(), LedgerRecord.unclaimed(time));
        boolean ownRun = request.attempt().equals(record.attempt());
        if (ownRun && record.state() == RunState.FINISHED) {
            return known(record);
        }
        if (ownRun && !record.nonce().equals(request.nonce())) {
            return known(record);
        }
        if (record.abandoned().size() >= MAX_ABANDONED || records.size() >= MAX_RECORDS) {
            return new Run(RunState.FULL, null);
        }
        LedgerRecord changed = ownRun ? record.released() : record;
        store(request.key(), changed.abandoning(request.attempt()));
        return new Run(RunState.ABANDONED, null);
    }

    /**
     * Records the answer of a run.
     *
     * @param request the answer
     * @return finished, or the state that contradicts it
     */
    public Run finish(FinishRun request) {
        LedgerRecord record = records.get(request.key());
        if (record == null) {
            return new Run(RunState.ABSENT, null);
        }
        boolean claimed = request.nonce().equals(record.nonce());
        if (claimed && record.state() == RunState.BEGUN) {
            store(request.key(), record.finished(request.answer()));
            return new Run(RunState.FINISHED, request.answer());
        }
        return known(record);
    }

    /**
     * Returns the state of a run without changing it.
     *
     * @param key the key
     * @return the state
     */
    public Run lookup(RunKey key) {
        LedgerRecord record = records.get(key);
        return record == null ? new Run(RunState.ABSENT, null) : known(record);
    }

    /**
     * Forgets old records.
     *
     * @param before records that were last used before this ledger time are forgotten
     */
    public void evict(long before) {
        Invariant.check(
                before <= time - MAX_ATTEMPT_AGE_MS, () -> "the ledger would forget records that may be claimed");
        Iterator<Map.Entry<RunKey, LedgerRecord>> oldest = records.entrySet().iterator();
        while (oldest.hasNext() && oldest.next().getValue().lastUse() < before) {
            oldest.remove();
        }
    }

    /**
     * Returns the whole state.
     *
     * @return the state
     */
    public State state() {
        List<Entry> entries = new ArrayList<>(records.size());
        records.forEach((key, record) -> entries.add(new Entry(key, record)));
        return new State(time, entries);
    }

    /**
     * Replaces the whole state.
     *
     * @param state the state
     */
    public void restore(State state) {
        records.clear();
        state.entries().forEach(entry -> records.put(entry.key(), entry.record()));
        time = state.time();
    }

    /**
     * Takes note that a key was used, so that its record is kept.
     *
     * @param key the key
     */
    private void touch(RunKey key) {
        LedgerRecord record = records.get(key);
        if (record != null) {
            store(key, record);
        }
    }

    /**
     * Stores a record as used now.
     *
     * @param key the key
     * @param record the record
     */
    private void store(RunKey key, LedgerRecord record) {
        records.remove(key);
        records.put(key, record.usedAt(time));
    }

    /**
     * Returns the answer about a known record.
     *
     * @param record the record
     * @return its state
     */
    private static Run known(LedgerRecord record) {
        return new Run(record.state(), record.answer());
    }
}
