package org.bamboohatch.routing.retry;

import java.util.List;
import java.util.SplittableRandom;
import java.util.stream.IntStream;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class TargetHealthTest {

    private static TargetHealth ejected() {
        return TargetHealth.HEALTHY.afterFailure(0).afterFailure(0).afterFailure(0);
    }

    @Test
    void singleFailureDoesNotEjectTarget() {
        assertThat(TargetHealth.HEALTHY.afterFailure(0).isAvailable(0)).isTrue();
    }

    @Test
    void consecutiveFailuresEjectTarget() {
        assertThat(ejected().isAvailable(499)).isFalse();
        assertThat(ejected().isAvailable(500)).isTrue();
    }

    @Test
    void ejectedTargetIsProbedBySingleRequest() {
        assertThat(ejected().afterDispatch(500).isAvailable(500)).isFalse();
        assertThat(ejected().afterDispatch(500).afterSuccess().isAvailable(500)).isTrue();
    }

    @Test
    void probeWithoutResultIsRepeated() {
        TargetHealth probed = ejected().afterDispatch(500);
        assertThat(probed.isAvailable(5_499)).isFalse();
        assertThat(probed.isAvailable(5_500)).isTrue();
    }

    @Test
    void failedProbeDoublesEjectionTime() {
        TargetHealth ejectedAgain = ejected().afterDispatch(500).afterFailure(500);
        assertThat(ejectedAgain.isAvailable(1_400)).isFalse();
        assertThat(ejectedAgain.isAvailable(1_500)).isTrue();
    }

    @Test
    void successesEarnFractionOfRetry() {
        RetryBudget budget = RetryBudget.INITIAL;
        while (budget.allowsRetry()) {
            budget = budget.spend();
        }
        for (int success = 0; success < 11; success++) {
            budget = budget.earn();
        }
        assertThat(budget.allowsRetry()).isTrue();
        assertThat(budget.spend().allowsRetry()).isFalse();
    }

    @Test
    void backoffDelayIsBounded() {
        SplittableRandom random = new SplittableRandom(1);
        List<Long> delays = IntStream.range(0, 1_000)
                .mapToObj(draw -> Backoff.delayMillis(3, random))
                .toList();
        assertThat(delays).allMatch(delay -> delay >= 0 && delay <= 80);
        assertThat(Backoff.delayMillis(60, random)).isLessThanOrEqualTo(1_000);
    }

    @Test
    void reserveRefillsUpToItsMaximum() {
        RetryBudget empty = new RetryBudget(0, 1_000);
        assertThat(empty.refill(1_100).allowsRetry()).isFalse();
        assertThat(empty.refill(1_200).allowsRetry()).isTrue();
        assertThat(empty.refill(1_000_000).tokens()).isEqualTo(10);
        assertThat(new RetryBudget(30, 1_000).refill(1_000_000).tokens()).isEqualTo(30);
    }
}
