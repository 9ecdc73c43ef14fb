package org.bamboohatch.control.state;

import java.util.ArrayList;
import java.util.List;

import org.bamboohatch.kernel.id.AttemptId;
import org.bamboohatch.protocol.message.ControlReply.RunState;
import org.bamboohatch.protocol.message.RecordedAnswer;

/**
 * The ledger's record of one idempotency key.
 *
 * @param state {@link RunState#ABSENT} if no run has begun, {@link RunState#BEGUN} or {@link RunState#FINISHED}
 * @param bodyHash hash of the request body, or null before the first claim
 * @param attempt attempt whose run has begun, or null
 * @param nonce nonce of the claim of that attempt, or null
 * @param answer answer of a finished run, or null
 * @param abandoned attempts that were abandoned and must never run
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

    /** Copies the list, so that the record is immutable. */
    public LedgerRecord {
        abandoned = List.copyOf(abandoned);
    }

    /**
     * Creates the record of a key that was never claimed.
     *
     * @param time current ledger time, in milliseconds
     * @return a record without a run
     */
    static LedgerRecord unclaimed(long time) {
        return new LedgerRecord(RunState.ABSENT, null, null, null, null, List.of(), time);
    }

    /**
     * Returns a copy in which the run of an attempt has begun.
     *
     * @param hash hash of the request body
     * @param claimant attempt to which the claim is granted
     * @param claimNonce nonce of the claim
     * @return the copy
     */
    LedgerRecord withClaim(String hash, AttemptId claimant, String claimNonce) {
        return new LedgerRecord(RunState.BEGUN, hash, claimant, claimNonce, null, abandoned, lastUse);
    }

    /**
     * Returns a copy in which the run has finished.
     *
     * @param recorded answer of the run
     * @return the copy
     */
    LedgerRecord withAnswer(RecordedAnswer recorded) {
        return new LedgerRecord(RunState.FINISHED, bodyHash, attempt, nonce, recorded, abandoned, lastUse);
    }

    /**
     * Returns a copy in which an attempt is abandoned.
     *
     * @param abandonedAttempt attempt that must never run
     * @return the copy, or this record if the attempt is abandoned already
     */
    LedgerRecord withAbandoned(AttemptId abandonedAttempt) {
        if (abandoned.contains(abandonedAttempt)) {
            return this;
        }
        List<AttemptId> extended = new ArrayList<>(abandoned);
        extended.add(abandonedAttempt);
        return new LedgerRecord(state, bodyHash, attempt, nonce, answer, extended, lastUse);
    }

    /**
     * Returns a copy in which the claim is released, so that another attempt with the same body can run.
     *
     * @return the copy
     */
    LedgerRecord withoutClaim() {
        return new LedgerRecord(RunState.ABSENT, bodyHash, null, null, null, abandoned, lastUse);
    }

    /**
     * Returns a copy with a new time of last use.
     *
     * @param time ledger time of the use, in milliseconds
     * @return the copy
     */
    LedgerRecord withLastUse(long time) {
        return new LedgerRecord(state, bodyHash, attempt, nonce, answer, abandoned, time);
    }
}
