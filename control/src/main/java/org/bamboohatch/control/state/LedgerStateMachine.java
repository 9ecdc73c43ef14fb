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
 * State machine of the ledger, which ensures that a request that is not idempotent runs at most once. Whether an
 * attempt begins or is abandoned is decided by which of the two requests comes first in the log, without any clock.
 * Records are evicted only when every attempt that could still claim them has expired.
 */
public final class LedgerStateMachine {

    /** Age in ledger time above which an attempt that has not begun can no longer begin, in milliseconds. */
    public static final long MAX_ATTEMPT_AGE_MS = 3_600_000;

    /** Maximum number of records. */
    public static final int MAX_RECORDS = 1_000_000;

    /** Maximum number of abandoned attempts of one key. */
    private static final int MAX_ABANDONED_PER_KEY = 256;

    /** The records by key, the least recently used first. */
    private final LinkedHashMap<RunKey, LedgerRecord> records = new LinkedHashMap<>();

    /** Current ledger time, in milliseconds. */
    private long time;

    /** Creates a state machine without records. */
    public LedgerStateMachine() {}

    /**
     * A record in a snapshot.
     *
     * @param key idempotency key within its client account
     * @param record the ledger's record of the key
     */
    public record Entry(RunKey key, LedgerRecord record) {}

    /**
     * State in a snapshot.
     *
     * @param time current ledger time, in milliseconds
     * @param entries the records, the least recently used first
     */
    public record State(long time, List<Entry> entries) {}

    /**
     * Advances the ledger time, which never decreases.
     *
     * @param now the leader's ledger time, in milliseconds
     */
    public void advance(long now) {
        time = Math.max(time, now);
    }

    /**
     * Returns the current ledger time.
     *
     * @return the time in milliseconds
     */
    public long time() {
        return time;
    }

    /**
     * Returns the number of records.
     *
     * @return the number of keys that have a record
     */
    public int size() {
        return records.size();
    }

    /**
     * Applies the claim of an attempt to run a request. A resent claim, which has the same nonce, is granted again.
     *
     * @param request the claim
     * @return {@link RunState#GRANTED}, or the reason why the attempt must not run
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
            store(request.key(), record.withClaim(request.bodyHash(), request.attempt(), request.nonce()));
            return new Run(RunState.GRANTED, null);
        }
        boolean sameClaim = record.state() == RunState.BEGUN && request.nonce().equals(record.nonce());
        return sameClaim ? new Run(RunState.GRANTED, null) : toRun(record);
    }

    /**
     * Abandons an attempt, so that it never runs, unless it has begun. An attempt that has begun is abandoned only with
     * the nonce of its claim, by the agent that has not run it. An expired attempt is abandoned without a record, as it
     * can no longer begin.
     *
     * @param request the attempt to abandon
     * @return {@link RunState#ABANDONED}, {@link RunState#FULL}, or the state of the attempt's run
     */
    public Run abandon(AbandonRun request) {
        touch(request.key());
        if (request.attemptTime() < time - MAX_ATTEMPT_AGE_MS) {
            LedgerRecord record = records.get(request.key());
            boolean begun = record != null && request.attempt().equals(record.attempt());
            return begun ? toRun(record) : new Run(RunState.ABANDONED, null);
        }
        LedgerRecord record = records.getOrDefault(request.key(), LedgerRecord.unclaimed(time));
        boolean begunByAttempt = request.attempt().equals(record.attempt());
        if (begunByAttempt && record.state() == RunState.FINISHED) {
            return toRun(record);
        }
        if (begunByAttempt && !record.nonce().equals(request.nonce())) {
            return toRun(record);
        }
        if (record.abandoned().size() >= MAX_ABANDONED_PER_KEY || records.size() >= MAX_RECORDS) {
            return new Run(RunState.FULL, null);
        }
        LedgerRecord changed = begunByAttempt ? record.withoutClaim() : record;
        store(request.key(), changed.withAbandoned(request.attempt()));
        return new Run(RunState.ABANDONED, null);
    }

    /**
     * Records the answer of a run.
     *
     * @param request the answer, with the nonce of the claim
     * @return {@link RunState#FINISHED}, or the current state of the key if the claim is not the one that has begun
     */
    public Run finish(FinishRun request) {
        LedgerRecord record = records.get(request.key());
        if (record == null) {
            return new Run(RunState.ABSENT, null);
        }
        boolean claimed = request.nonce().equals(record.nonce());
        if (claimed && record.state() == RunState.BEGUN) {
            store(request.key(), record.withAnswer(request.answer()));
            return new Run(RunState.FINISHED, request.answer());
        }
        return toRun(record);
    }

    /**
     * Returns the state of a run without recording a use of its key.
     *
     * @param key idempotency key within its client account
     * @return the state, {@link RunState#ABSENT} if there is no record
     */
    public Run lookup(RunKey key) {
        LedgerRecord record = records.get(key);
        return record == null ? new Run(RunState.ABSENT, null) : toRun(record);
    }

    /**
     * Evicts old records.
     *
     * @param before ledger time in milliseconds; records that were last used earlier are evicted
     * @throws Invariant.Violation if a record of an attempt that has not expired could be evicted
     */
    public void evict(long before) {
        Invariant.check(
                before <= time - MAX_ATTEMPT_AGE_MS,
                () -> "eviction would remove ledger records that can still be claimed");
        Iterator<Map.Entry<RunKey, LedgerRecord>> oldest = records.entrySet().iterator();
        while (oldest.hasNext() && oldest.next().getValue().lastUse() < before) {
            oldest.remove();
        }
    }

    /**
     * Returns the state for a snapshot.
     *
     * @return a copy of the state
     */
    public State state() {
        List<Entry> entries = new ArrayList<>(records.size());
        records.forEach((key, record) -> entries.add(new Entry(key, record)));
        return new State(time, entries);
    }

    /**
     * Replaces the state with that of a snapshot.
     *
     * @param state the state to restore
     */
    public void restore(State state) {
        records.clear();
        state.entries().forEach(entry -> records.put(entry.key(), entry.record()));
        time = state.time();
    }

    /**
     * Records a use of a key, which postpones the eviction of its record.
     *
     * @param key idempotency key within its client account
     */
    private void touch(RunKey key) {
        LedgerRecord record = records.get(key);
        if (record != null) {
            store(key, record);
        }
    }

    /**
     * Stores a record with the current ledger time as its last use, behind all others in the order of eviction.
     *
     * @param key idempotency key within its client account
     * @param record the record to store
     */
    private void store(RunKey key, LedgerRecord record) {
        records.remove(key);
        records.put(key, record.withLastUse(time));
    }

    private static Run toRun(LedgerRecord record) {
        return new Run(record.state(), record.answer());
    }
}
