package org.bamboohatch.routing.retry;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.DoubleRange;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/** Processes that know only of their own requests keep to the rate of a target together. */
class RateShareTest {

    private static final long WINDOW_MS = 4_000;

    private static final long STEP_MS = 10;

    private static double allowed(double perSecond) {
        return 1.5 * perSecond * WINDOW_MS / 1_000 + 5;
    }

    /** Returns the largest number of requests in a window if all processes send whenever they may, but for a pause. */
    private static int mostPerWindow(double perSecond, int processes, long pauseFrom, long pauseUntil, Random random) {
        List<RateShare> shares = new ArrayList<>();
        for (int process = 0; process < processes; process++) {
            shares.add(RateShare.first(perSecond, processes, random.nextDouble(), 0));
        }
        List<Long> sends = new ArrayList<>();
        int most = 0;
        for (long now = 0; now < 30_000; now += STEP_MS) {
            for (int process = 0; process < processes; process++) {
                boolean paused = now >= pauseFrom && now < pauseUntil;
                if (!paused && shares.get(process).nextSendAt(now) <= now) {
                    shares.set(process, shares.get(process).afterSend(processes, now));
                    sends.add(now);
                }
            }
            long begin = now - WINDOW_MS;
            most = Math.max(
                    most, (int) sends.stream().filter(sent -> sent > begin).count());
        }
        return most;
    }

    @Property(tries = 60, seed = "25")
    void allTogetherKeepToTheRate(
            @ForAll @DoubleRange(min = 0, max = 30) double perSecond,
            @ForAll @IntRange(min = 1, max = 40) int processes,
            @ForAll long seed) {
        assertThat((double) mostPerWindow(perSecond, processes, 0, 0, new Random(seed)))
                .isLessThanOrEqualTo(allowed(perSecond));
    }

    /** Unused shares of a quiet time are not sent all at once. */
    @Property(tries = 60, seed = "26")
    void loadThatReturnsAfterAQuietTimeKeepsToTheRate(
            @ForAll @DoubleRange(min = 0, max = 30) double perSecond,
            @ForAll @IntRange(min = 1, max = 40) int processes,
            @ForAll long seed) {
        assertThat((double) mostPerWindow(perSecond, processes, 0, 20_000, new Random(seed)))
                .isLessThanOrEqualTo(allowed(perSecond));
    }

    @Test
    void aSingleProcessUsesTheWholeRate() {
        assertThat(mostPerWindow(10, 1, 0, 0, new Random(1))).isBetween(39, 41);
    }

    @Test
    void aHigherRateAppliesAtOnce() {
        RateShare share = RateShare.first(0.1, 4, 1, 0);
        assertThat(share.nextSendAt(0)).isEqualTo(40_000);
        assertThat(share.withRate(10, 4, 0).nextSendAt(0)).isEqualTo(400);
    }

    @Test
    void aTargetThatTakesNothingIsAskedNowAndThen() {
        RateShare share = RateShare.first(0, 2, 0, 0).afterSend(2, 0);
        assertThat(share.nextSendAt(0)).isEqualTo(20_000);
    }
}
