package org.bamboohatch.control.state;

import org.bamboohatch.kernel.id.AccountName;
import org.bamboohatch.kernel.id.AttemptId;
import org.bamboohatch.kernel.id.RunKey;
import org.bamboohatch.kernel.service.Invariant;
import org.bamboohatch.protocol.message.ControlReply.RunState;
import org.bamboohatch.protocol.message.ControlRequest.AbandonRun;
import org.bamboohatch.protocol.message.ControlRequest.BeginRun;
import org.bamboohatch.protocol.message.ControlRequest.FinishRun;
import org.bamboohatch.protocol.message.RecordedAnswer;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

class LedgerStateMachineTest {

    private static final RunKey KEY = new RunKey(new AccountName("oaxaca"), "crates");
    private static final long START = 10 * LedgerStateMachine.MAX_ATTEMPT_AGE_MS;

    private final LedgerStateMachine ledger = new LedgerStateMachine();

    @BeforeEach
    void advance() {
        ledger.advance(START);
    }

    private RunState begin(String attempt, String nonce, String hash) {
        return ledger.begin(new BeginRun(KEY, new AttemptId(attempt), nonce, hash, START))
                .state();
    }

    private RunState abandon(String attempt, String nonce) {
        return ledger.abandon(new AbandonRun(KEY, new AttemptId(attempt), nonce, START))
                .state();
    }

    private RunState finish(String attempt, String nonce) {
        RecordedAnswer answer = new RecordedAnswer(201, "text/plain", new byte[] {1});
        return ledger.finish(new FinishRun(KEY, new AttemptId(attempt), nonce, answer))
                .state();
    }

    @Test
    void firstClaimIsGranted() {
        assertThat(begin("a", "1", "h")).isEqualTo(RunState.GRANTED);
    }

    @Test
    void resentClaimIsGrantedAgain() {
        begin("a", "1", "h");
        assertThat(begin("a", "1", "h")).isEqualTo(RunState.GRANTED);
    }

    @Test
    void secondClaimOfSameAttemptWithAnotherNonceIsNotGranted() {
        begin("a", "1", "h");
        assertThat(begin("a", "2", "h")).isEqualTo(RunState.BEGUN);
    }

    @Test
    void claimOfAnotherAttemptIsNotGrantedDuringRun() {
        begin("a", "1", "h");
        assertThat(begin("b", "2", "h")).isEqualTo(RunState.BEGUN);
    }

    @Test
    void claimAfterFinishedRunGetsItsAnswer() {
        begin("a", "1", "h");
        finish("a", "1");
        assertThat(begin("b", "2", "h")).isEqualTo(RunState.FINISHED);
    }

    @Test
    void claimWithAnotherBodyIsRejected() {
        begin("a", "1", "h");
        assertThat(begin("b", "2", "other")).isEqualTo(RunState.BODY_DIFFERS);
    }

    @Test
    void abandonedAttemptCannotBegin() {
        assertThat(abandon("a", null)).isEqualTo(RunState.ABANDONED);
        assertThat(begin("a", "1", "h")).isEqualTo(RunState.ABANDONED);
    }

    @Test
    void attemptThatHasBegunCannotBeAbandoned() {
        begin("a", "1", "h");
        assertThat(abandon("a", null)).isEqualTo(RunState.BEGUN);
    }

    @Test
    void agentCanReleaseItsOwnClaim() {
        begin("a", "1", "h");
        assertThat(abandon("a", "1")).isEqualTo(RunState.ABANDONED);
        assertThat(begin("b", "2", "h")).isEqualTo(RunState.GRANTED);
    }

    @Test
    void finishWithNonceOfAnotherClaimIsIgnored() {
        begin("a", "1", "h");
        assertThat(finish("a", "2")).isEqualTo(RunState.BEGUN);
    }

    @Test
    void expiredAttemptCannotBegin() {
        ledger.advance(START + LedgerStateMachine.MAX_ATTEMPT_AGE_MS + 1);
        assertThat(begin("a", "1", "h")).isEqualTo(RunState.EXPIRED);
        assertThat(abandon("a", null)).isEqualTo(RunState.ABANDONED);
    }

    @Test
    void evictingRecordsThatCanBeClaimedFails() {
        assertThatThrownBy(() -> ledger.evict(START)).isInstanceOf(Invariant.Violation.class);
    }

    @Test
    void evictionRemovesOnlyOldRecords() {
        begin("a", "1", "h");
        ledger.advance(START * 3);
        ledger.begin(new BeginRun(new RunKey(KEY.account(), "new"), new AttemptId("b"), "2", "h", START * 3));
        ledger.evict(START * 2);
        assertThat(ledger.size()).isEqualTo(1);
    }

    @Test
    void timeNeverDecreases() {
        ledger.advance(5);
        assertThat(ledger.time()).isEqualTo(START);
    }
}
