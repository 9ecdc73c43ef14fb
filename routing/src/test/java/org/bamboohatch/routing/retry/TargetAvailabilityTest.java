package org.bamboohatch.routing.retry;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/** A pause that a target has asked for is binding, whatever its health. */
class TargetAvailabilityTest {

    @Test
    void pausedTargetGetsNothingUntilItsPauseIsOver() {
        TargetAvailability paused = TargetAvailability.INITIAL.afterPauseRequest(2_000, 100);
        assertThat(paused.isPaused(2_099)).isTrue();
        assertThat(paused.isPreferred(2_099)).isFalse();
        assertThat(paused.isPaused(2_100)).isFalse();
    }

    @Test
    void successDoesNotEndPause() {
        TargetAvailability paused = TargetAvailability.INITIAL.afterPauseRequest(2_000, 100);
        assertThat(paused.withHealth(paused.health().afterSuccess()).isPaused(1_000))
                .isTrue();
    }

    @Test
    void shorterPauseDoesNotReplaceLongerOne() {
        TargetAvailability paused =
                TargetAvailability.INITIAL.afterPauseRequest(5_000, 0).afterPauseRequest(100, 0);
        assertThat(paused.pausedUntil()).isEqualTo(5_000);
    }

    @Test
    void nonsensicalPausesAreLimited() {
        assertThat(TargetAvailability.INITIAL
                        .afterPauseRequest(Long.MAX_VALUE, 1_000)
                        .pausedUntil())
                .isEqualTo(1_000 + TargetAvailability.MAX_PAUSE_MS);
        assertThat(TargetAvailability.INITIAL.afterPauseRequest(-5, 1_000).isPaused(1_000))
                .isFalse();
    }

    @Test
    void ejectionIsNoPause() {
        TargetHealth ejected =
                TargetHealth.HEALTHY.afterFailure(0).afterFailure(0).afterFailure(0);
        TargetAvailability availability = TargetAvailability.INITIAL.withHealth(ejected);
        assertThat(availability.isPaused(0)).isFalse();
        assertThat(availability.isPreferred(0)).isFalse();
    }
}
