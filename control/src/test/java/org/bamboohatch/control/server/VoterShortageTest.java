package org.bamboohatch.control.server;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/** Guards against a group that is too small for its tolerance without saying so until disks are lost. */
class VoterShortageTest {

    private static final long START = 1_000;

    private final VoterShortage shortage = new VoterShortage(5);

    @Test
    void growthAndRepairAreNoShortage() {
        shortage.update(3, START);
        shortage.update(4, START + VoterShortage.REPAIR_TIME_MS - 1);
        shortage.update(5, START + VoterShortage.REPAIR_TIME_MS);
        shortage.update(4, START + VoterShortage.REPAIR_TIME_MS + 1);
        assertThat(shortage.isLasting()).isFalse();
    }

    @Test
    void tooFewVotersForLongerThanARepairAreReportedUntilThereAreEnough() {
        shortage.update(3, START);
        shortage.update(3, START + VoterShortage.REPAIR_TIME_MS);
        assertThat(shortage.isLasting()).isTrue();
        shortage.update(5, START + VoterShortage.REPAIR_TIME_MS + 1);
        assertThat(shortage.isLasting()).isFalse();
    }

    @Test
    void anUnsetToleranceIsNeverShort() {
        VoterShortage unset = new VoterShortage(0);
        unset.update(1, START);
        unset.update(1, START + 2 * VoterShortage.REPAIR_TIME_MS);
        assertThat(unset.isLasting()).isFalse();
    }
}
