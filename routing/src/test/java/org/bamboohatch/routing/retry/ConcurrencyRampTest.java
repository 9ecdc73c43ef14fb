package org.bamboohatch.routing.retry;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/** The limit of a target that has just started follows from its responses, whichever process got them. */
class ConcurrencyRampTest {

    private final ConcurrencyRamp begun = ConcurrencyRamp.begin(0);

    @Test
    void eachResponseInTimeAllowsOneMoreRequest() {
        ConcurrencyRamp ramp = begun.afterSuccess(0, 100).afterSuccess(10, 120);
        assertThat(ramp.limit()).isEqualTo(4);
        assertThat(ramp.holdsOff(3)).isFalse();
        assertThat(ramp.holdsOff(4)).isTrue();
    }

    /** Several requests that were sent together are late for the same reason. */
    @Test
    void lateResponsesHalveTheLimitOnceInTheTimeOfAResponse() {
        ConcurrencyRamp ramp = new ConcurrencyRamp(6, 0, 100, Long.MIN_VALUE);
        ConcurrencyRamp halved = ramp.afterFailure(200, 1_000);
        assertThat(halved.limit()).isEqualTo(3);
        assertThat(halved.afterFailure(210, 1_010).limit()).isEqualTo(3);
        assertThat(halved.afterSuccess(220, 1_020).limit())
                .as("sent before the decrease")
                .isEqualTo(3);
        assertThat(halved.afterFailure(1_100, 1_500).limit()).isEqualTo(1);
        assertThat(halved.afterFailure(1_100, 1_500).afterFailure(1_600, 2_000).limit())
                .isEqualTo(1);
    }

    @Test
    void theHighestLimitOfAnyProcessHolds() {
        ConcurrencyRamp other = begun.afterSuccess(0, 50).afterSuccess(0, 60);
        assertThat(begun.merge(other).limit()).isEqualTo(4);
        assertThat(other.merge(begun).limit()).isEqualTo(4);
    }

    /** The same report arrives every second; applying it again must not halve the limit again. */
    @Test
    void aFailureIsAppliedOnce() {
        ConcurrencyRamp grown = new ConcurrencyRamp(6, 0, 100, Long.MIN_VALUE);
        ConcurrencyRamp failed = grown.afterFailure(200, 1_000);
        ConcurrencyRamp merged = grown.merge(failed);
        assertThat(merged.limit()).isEqualTo(3);
        ConcurrencyRamp recovered = merged.afterSuccess(1_100, 1_200).afterSuccess(1_100, 1_200);
        assertThat(recovered.merge(failed).limit()).isEqualTo(5);
    }

    /** Two processes see the same overload, each in a response of its own. */
    @Test
    void failuresAtTheSameTimeCountOnce() {
        ConcurrencyRamp grown = new ConcurrencyRamp(6, 0, 100, Long.MIN_VALUE);
        ConcurrencyRamp first = grown.afterFailure(200, 1_000);
        ConcurrencyRamp second = grown.afterFailure(250, 1_300);
        assertThat(first.merge(second).limit()).isEqualTo(3);
        assertThat(second.merge(first).limit()).isEqualTo(3);
    }

    /** A process that missed the decrease would otherwise undo it. */
    @Test
    void aLimitFromBeforeADecreaseHasNoEffect() {
        ConcurrencyRamp grown = new ConcurrencyRamp(6, 0, 100, Long.MIN_VALUE);
        ConcurrencyRamp failed = grown.afterFailure(200, 5_000);
        assertThat(failed.merge(grown.afterSuccess(150, 4_000)).limit()).isEqualTo(3);
        assertThat(failed.merge(grown.afterSuccess(150, 5_100)).limit()).isEqualTo(3);
    }

    @Test
    void theRampEndsAtTheSlotsOrWithoutNeed() {
        assertThat(begun.isOver(2, 0)).isTrue();
        assertThat(begun.isOver(8, 29_999)).isFalse();
        assertThat(begun.isOver(8, 30_000)).isTrue();
        assertThat(begun.afterHoldOff(20_000).isOver(8, 49_999)).isFalse();
    }

    @Test
    void aResponseIsInTimeWithinItsObjectiveOrTwiceItsPrediction() {
        assertThat(ConcurrencyRamp.isInTime(250, 0, 300)).isTrue();
        assertThat(ConcurrencyRamp.isInTime(450, 240, 300)).isTrue();
        assertThat(ConcurrencyRamp.isInTime(500, 240, 300)).isFalse();
    }

    /** Processes repeat their limits to each other; the ramp of a target without requests would otherwise not end. */
    @Test
    void aNeedThatIsRepeatedBecomesNoYounger() {
        ConcurrencyRamp ramp = ConcurrencyRamp.begin(0);
        for (int time = 0; time < 1_000; time++) {
            ramp = ramp.merge(
                    new ConcurrencyRamp(ramp.limit(), ramp.neededAt() + 20, ramp.increasedAt(), ramp.decreasedAt()));
        }
        assertThat(ramp.isOver(8, ConcurrencyRamp.UNNEEDED_MS)).isTrue();
    }

    @Test
    void aLaterNeedAtAnotherProcessCounts() {
        ConcurrencyRamp ramp =
                ConcurrencyRamp.begin(0).merge(ConcurrencyRamp.begin(0).afterHoldOff(20_000));
        assertThat(ramp.isOver(8, ConcurrencyRamp.UNNEEDED_MS)).isFalse();
    }
}
