package org.bamboohatch.routing.retry;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/** A target is cold according to its latest statement, whatever way the statements came. */
class ColdPeriodTest {

    @Test
    void aTargetOfWhichNothingIsKnownIsWarm() {
        assertThat(ColdPeriod.NONE.isCold(0)).isFalse();
        assertThat(ColdPeriod.NONE.after(ColdPeriod.of(0, 0)).isCold(0)).isFalse();
    }

    /** If nothing more is heard, the cold time ends by itself. */
    @Test
    void aColdTimeEndsByItsOwnAge() {
        ColdPeriod period = ColdPeriod.NONE.after(ColdPeriod.of(3_000, 1_000));
        assertThat(period.isCold(3_999)).isTrue();
        assertThat(period.isCold(4_000 + ColdPeriod.TOLERANCE_MS)).isFalse();
    }

    @Test
    void zeroEndsTheColdTime() {
        ColdPeriod period = ColdPeriod.of(3_000, 1_000).after(ColdPeriod.of(0, 2_000));
        assertThat(period.isCold(2_000)).isFalse();
    }

    /** Otherwise a report that was delayed would bring an ended cold time back. */
    @Test
    void anEarlierStatementHasNoEffect() {
        ColdPeriod ended = ColdPeriod.of(0, 2_000);
        assertThat(ended.after(ColdPeriod.of(9_000, 1_999))).isEqualTo(ended);
    }

    @Test
    void aTargetMayBecomeColdAgain() {
        ColdPeriod period = ColdPeriod.of(1_000, 0).after(ColdPeriod.of(6_000, 5_000));
        assertThat(period.isCold(10_900)).isTrue();
    }

    /** All gateways use the estimate with the shortest delay, so that their slots begin together. */
    @Test
    void theEarliestEndOfTheSameColdTimeIsRetained() {
        ColdPeriod period = ColdPeriod.of(3_000, 120).after(ColdPeriod.of(2_500, 600));
        assertThat(period.endsAt()).isEqualTo(3_100);
        assertThat(period.after(ColdPeriod.of(2_000, 1_200)).endsAt()).isEqualTo(3_100);
    }

    private static ColdPeriod repeated(ColdPeriod statement, int times, long delayMillis) {
        ColdPeriod period = statement;
        for (int time = 0; time < times; time++) {
            period = period.after(new ColdPeriod(period.endsAt() + delayMillis, period.statedAt() + delayMillis));
        }
        return period;
    }

    /** Gateways repeat statements to each other; an old one would otherwise become younger and hide a later one. */
    @Test
    void aStatementThatIsRepeatedBecomesNoYounger() {
        ColdPeriod cold = repeated(ColdPeriod.of(9_000, 1_000), 200, 10);
        assertThat(cold.after(ColdPeriod.of(0, 2_000)).isCold(2_000)).isFalse();
        ColdPeriod warm = repeated(ColdPeriod.of(0, 1_000), 200, 10);
        assertThat(warm.after(ColdPeriod.of(9_000, 2_000)).isCold(2_000)).isTrue();
    }

    /** A delayed statement would otherwise end the cold time while the target still names some. */
    @Test
    void aStatementAfterTheKnownEndCounts() {
        ColdPeriod period = ColdPeriod.of(1_000, 0).after(ColdPeriod.of(100, 1_050));
        assertThat(period.isCold(1_100)).isTrue();
    }

    @Test
    void anEndlessColdTimeCountsAsTenMinutes() {
        assertThat(ColdPeriod.of(Long.MAX_VALUE, 1_000).endsAt()).isEqualTo(601_000);
    }
}
