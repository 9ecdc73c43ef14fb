package org.bamboohatch.control.server;

import java.util.List;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against a ledger time that stands still after all control processes were restarted, for as long as they had run
 * before: the new leader counted from before the entries of its log were applied.
 */
class LeaderStateTest {

    @Test
    void theLedgerTimeContinuesFromEntriesThatAreAppliedAfterTheStartOfTheTerm() {
        LeaderState leader = new LeaderState(2, List.of(), 0, 1_000);
        assertThat(leader.ledgerTime(0, 1_010)).isEqualTo(10);
        assertThat(leader.ledgerTime(30_000, 1_020)).isEqualTo(30_000);
        assertThat(leader.ledgerTime(30_000, 1_520)).isEqualTo(30_500);
        assertThat(leader.ledgerTime(30_400, 1_620)).isEqualTo(30_600);
    }
}
