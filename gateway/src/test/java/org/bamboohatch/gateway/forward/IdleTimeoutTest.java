package org.bamboohatch.gateway.forward;

import java.util.List;

import org.bamboohatch.kernel.id.TargetName;
import org.bamboohatch.routing.fleet.Demand;
import org.bamboohatch.routing.fleet.Placement;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class IdleTimeoutTest {

    private static final Demand SHORT = new Demand(5_000, 1_600, 300, 250);

    private static final Demand LONG = new Demand(154_000, 800, 3_000, 1_000);

    private static Placement predicted(double millis) {
        return new Placement(new TargetName("engine-a"), List.of(), List.of(), millis);
    }

    @Test
    void shortStreamTimesOutBeforeCallerTimeout() {
        assertThat(IdleTimeout.millis(SHORT, predicted(100), false)).isBetween(1_000L, 1_500L);
        assertThat(IdleTimeout.millis(SHORT, predicted(100), true)).isBetween(1_000L, 1_500L);
    }

    @Test
    void aLongPromptIsGrantedThreeTimesThePredictionAndAMargin() {
        assertThat(IdleTimeout.millis(LONG, predicted(3_200), false)).isEqualTo(10_600);
        assertThat(IdleTimeout.millis(LONG, predicted(400), false)).isEqualTo(6_000);
    }

    @Test
    void aLongStreamMayStallWhileAnotherPromptIsPrefilled() {
        assertThat(IdleTimeout.millis(LONG, predicted(400), true)).isBetween(4_000L, 6_000L);
    }

    @Test
    void aPlainServiceIsGrantedTwiceItsTargetLatency() {
        assertThat(IdleTimeout.millis(new Demand(0, 0, 120, 0), predicted(0), false))
                .isEqualTo(240);
    }
}
