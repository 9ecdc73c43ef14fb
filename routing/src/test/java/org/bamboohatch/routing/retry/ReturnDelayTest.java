package org.bamboohatch.routing.retry;

import java.time.Duration;
import java.util.OptionalLong;
import java.util.SplittableRandom;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class ReturnDelayTest {

    @Test
    void callersReturnAfterTheShortestPauseAndNotAllAtOnce() {
        SplittableRandom random = new SplittableRandom(20261204);
        int early = 0;
        for (int caller = 0; caller < 400; caller++) {
            Duration delay = ReturnDelay.afterRefusal(OptionalLong.of(4_000), random.nextLong());
            assertThat(delay).isBetween(Duration.ofMillis(4_000), Duration.ofMillis(5_000));
            early += delay.toMillis() < 4_250 ? 1 : 0;
        }
        assertThat(early).isBetween(60, 140);
    }

    @Test
    void withoutAPauseTheDelayIsShort() {
        assertThat(ReturnDelay.afterRefusal(OptionalLong.empty(), 7)).isEqualTo(Duration.ofMillis(300));
    }
}
