package org.bamboohatch.gateway.target;

import java.util.Map;

import org.bamboohatch.kernel.id.TargetIncarnation;
import org.bamboohatch.kernel.id.TargetName;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/** A pause that a target has asked one gateway for is binding for all. */
class TargetPausesTest {

    private static final TargetIncarnation TARGET = new TargetIncarnation(new TargetName("engine-a"), 7);

    private final TargetPauses pauses = new TargetPauses();

    private boolean isPaused(long now) {
        return now < pauses.pausedUntil(TARGET);
    }

    @Test
    void pausedTargetGetsNothingUntilItsPauseIsOver() {
        pauses.add(TARGET, 2_000, 100);
        assertThat(isPaused(2_099)).isTrue();
        assertThat(isPaused(2_100)).isFalse();
    }

    @Test
    void shorterPauseDoesNotReplaceLongerOne() {
        pauses.add(TARGET, 5_000, 0);
        pauses.add(TARGET, 100, 0);
        assertThat(pauses.pausedUntil(TARGET)).isEqualTo(5_000);
    }

    @Test
    void nonsensicalPausesAreLimited() {
        pauses.add(TARGET, -5, 1_000);
        assertThat(isPaused(1_000)).isFalse();
        pauses.add(TARGET, Long.MAX_VALUE, 1_000);
        assertThat(pauses.pausedUntil(TARGET)).isEqualTo(1_000 + TargetPauses.MAX_PAUSE_MS);
        TargetPauses other = new TargetPauses();
        other.addReported(TARGET, Long.MAX_VALUE, 1_000);
        assertThat(other.pausedUntil(TARGET)).isEqualTo(1_000 + TargetPauses.MAX_PAUSE_MS);
    }

    @Test
    void aPauseIsReportedOnceAndAgainWithAllOthersUntilItIsOver() {
        TargetPauses.PendingReport report = pauses.newReport();
        pauses.add(TARGET, 2_000, 100);
        assertThat(report.takeChanges()).isEqualTo(Map.of(TARGET, 2_100L));
        assertThat(report.takeChanges()).isEmpty();
        assertThat(report.takeAll(2_000)).isEqualTo(Map.of(TARGET, 2_100L));
        assertThat(report.takeAll(2_100)).isEmpty();
    }
}
