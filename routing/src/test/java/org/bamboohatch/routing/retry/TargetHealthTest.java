package org.bamboohatch.routing.retry;

import java.util.List;
import java.util.SplittableRandom;
import java.util.stream.IntStream;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class TargetHealthTest {

    private static TargetHealth ejected() {
        return TargetHealth.GOOD.failed(0).failed(0).failed(0);
    }

    @Test
    void aSingleFailureDoesNotLeaveATargetOut() {
        assertThat(TargetHealth.GOOD.failed(0).isAvailable(0)).isTrue();
    }

    @Test
    void failuresInARowLeaveATargetOutForAWhile() {
        assertThat(ejected().isAvailable(499)).isFalse();
        assertThat(ejected().isAvailable(500)).isTrue();
    }

    @Test
    void oneRequestProbesATargetThatWasLeftOut() {
        assertThat(ejected().dispatched(500).isAvailable(500)).isFalse();
        assertThat(ejected().dispatched(500).succeeded().isAvailable(500)).isTrue();
    }

    @Test
    void aProbeWithoutAResultIsFollowedByAnotherOne() {
        TargetHealth probed = ejected().dispatched(500);
        assertThat(probed.isAvailable(5_499)).isFalse();
        assertThat(probed.isAvailable(5_500)).isTrue();
    }

    @Test
    void aFailedProbeLeavesTheTargetOutForLonger() {
        TargetHealth again = ejected().dispatched(500).failed(500);
        assertThat(again.isAvailable(1_400)).isFalse();
        assertThat(again.isAvailable(1_500)).isTrue();
    }

    @Test
    void retriesAreAPartOfTheSuccesses() {
        RetryBudget budget = RetryBudget.INITIAL;
        while (budget.covers()) {
            budget = budget.spend();
        }
        for (int success = 0; success < 11; success++) {
            budget = budget.earn();
        }
        assertThat(budget.covers()).isTrue();
        assertThat(budget.spend().covers()).isFalse();
    }

    @Test
    void pausesGrowAndAreDrawnFromZeroUp() {
        SplittableRandom random = new SplittableRandom(1);
        List<Long> pauses = IntStream.range(0, 1_000)
                .mapToObj(draw -> Backoff.pauseMillis(3, random))
                .toList();
        assertThat(pauses).allMatch(pause -> pause >= 0 && pause <= 80);
        assertThat(Backoff.pauseMillis(60, random)).isLessThanOrEqualTo(1_000);
    }

    @Test
    void theReserveFillsWithTimeUpToItsBound() {
        RetryBudget empty = new RetryBudget(0, 1_000);
        assertThat(empty.at(1_100).covers()).isFalse();
        assertThat(empty.at(1_200).covers()).isTrue();
        assertThat(empty.at(1_000_000).tokens()).isEqualTo(10);
        assertThat(new RetryBudget(30, 1_000).at(1_000_000).tokens()).isEqualTo(30);
    }
}
