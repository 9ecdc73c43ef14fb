package org.bamboohatch.control.state;

import java.util.ArrayList;
import java.util.List;

import org.bamboohatch.kernel.id.AttemptId;
import org.bamboohatch.protocol.message.ControlReply.RunState;
import org.bamboohatch.protocol.message.RecordedAnswer;

/**
 * What the ledger knows of one key.
 *
 * @param state whether no run has begun, one has begun, or one has finished
 * @param bodyHash hash of the request, or null before the first claim
 * @param attempt the attempt that has begun, or null
 * @param nonce the nonce of its claim, or null
 * @param answer the answer of a finished run, or null
 * @param abandoned attempts that never run
 * @param lastUse ledger time of the last use, in milliseconds
 */
public record LedgerRecord(
        RunState state,
        String bodyHash,
        AttemptId attempt,
        String nonce,
        RecordedAnswer answer,
        List<AttemptId> abandoned,
        long lastUse) {

    /** Makes the list immutable. */
    public LedgerRecord {
        abandoned = List.copyOf(abandoned);
    }

    /**
     * Makes the record of a key that was never claimed.
     *
     * @param time the ledger time
     * @return the record
     */
    static LedgerRecord unclaimed(long time) {
        return new LedgerRecord(RunState.ABSENT, null, null, null, null, List.of(), time);
    }

    /**
     * Returns a copy in which a claim has begun.
     *
     * @param hash hash of the request
     * @param claimant the attempt
     * @param claimNonce the nonce of the claim
     * @return the copy
     */
    LedgerRecord begun(String hash, AttemptId claimant, String claimNonce) {
        return new LedgerRecord(RunState.BEGUN, hash, claimant, claimNonce, null, abandoned, lastUse);
    }

    /**
     * Returns a copy in which the run has finished.
     *
     * @param recorded the answer
     * @return the copy
     */
    LedgerRecord finished(RecordedAnswer recorded) {
        return new LedgerRecord(RunState.FINISHED, bodyHash, attempt, nonce, recorded, abandoned, lastUse);
    }

    /**
     * Returns a copy in which an attempt never runs.
     *
     * @param given the attempt
     * @return the copy
     */
    LedgerRecord abandoning(AttemptId given) {
        if (abandoned.contains(given)) {
            return this;
        }
        List<AttemptId> extended = new ArrayList<>(abandoned);
        extended.add(given);
        return new LedgerRecord(state, bodyHash, attempt, nonce, answer, extended, lastUse);
    }

    /**
     * Returns a copy without a claim.
     *
     * @return the copy
     */
    LedgerRecord released() {
        return new LedgerRecord(RunState.ABSENT, bodyHash, null, null, null, abandoned, lastUse);
    }

    /**
     * Returns a copy that was used now.
     *
     * @param time the ledger time
     * @return the copy
     */
    LedgerRecord usedAt(long time) {
        return new LedgerRecord(state, bodyHash, attempt, nonce, answer, abandoned, time);
    }
}
