package org.bamboohatch.gateway.forward;

import java.util.List;

import org.bamboohatch.gateway.forward.ColdZoneReplay.Options;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * A zone of targets that comes back cold beside busy ones looks idle, so that every gateway prefers it and it crashes under
 * requests that it takes four times as long for.
 */
class ColdZoneReplayTest {

    private static final long SEED = 20_261_206;

    private static final double SHORT_PER_SECOND = 132;

    /** End of the time in which all load reports are lost. */
    private static final int BLACKOUT_END_MS = ColdZoneReplay.RETURN_MS + 3_000;

    private static final Options LIMITED = new Options(true, 0.2, BLACKOUT_END_MS, SHORT_PER_SECOND, false, false);

    private static final Options BASELINE = new Options(false, 0.2, BLACKOUT_END_MS, SHORT_PER_SECOND, false, false);

    private static ColdZoneReplay play(Options options) {
        ColdZoneReplay replay = new ColdZoneReplay(options, SEED);
        replay.run();
        return replay;
    }

    private static void assertKeepsToRate(ColdZoneReplay replay) {
        assertThat(replay.mostPerColdSecond()).isLessThanOrEqualTo((int) ColdZoneReplay.COLD_PER_SECOND);
        assertThat(replay.crashes()).isZero();
    }

    @Test
    void noColdTargetGetsMoreThanItsRateInAnySecond() {
        assertKeepsToRate(play(LIMITED));
    }

    @Test
    void withoutARateColdTargetsAreFlooded() {
        ColdZoneReplay replay = play(BASELINE);
        assertThat((double) replay.mostPerColdSecond()).isGreaterThan(1.5 * ColdZoneReplay.COLD_PER_SECOND + 5);
        assertThat(replay.crashes()).isPositive();
    }

    /** Gateways that know different sets of gateways would otherwise use the same slots. */
    @Test
    void theRateHoldsWhileTheNumberOfGatewaysChanges() {
        assertKeepsToRate(play(new Options(true, 0.2, BLACKOUT_END_MS, SHORT_PER_SECOND, false, true)));
    }

    /** Requests that are not slowed down by a cold target are not sent there, but its rate is used if they need it. */
    @Test
    void theRateIsUsedWhenOthersAreOverloaded() {
        ColdZoneReplay replay = play(new Options(true, 0, 0, 4 * SHORT_PER_SECOND, false, false));
        assertKeepsToRate(replay);
        double slots = 20 * ColdZoneReplay.COLD_MS / 1_000.0 * ColdZoneReplay.COLD_PER_SECOND / 1.5;
        assertThat((double) replay.returnedArrivals(0, ColdZoneReplay.COLD_MS).size())
                .isGreaterThan(0.9 * slots);
    }

    /** A gateway that has not heard of the second cold time yet sends what it sends to a warm target. */
    @Test
    void targetsThatBecomeColdAgainSurvive() {
        ColdZoneReplay replay = play(new Options(true, 0.2, BLACKOUT_END_MS, SHORT_PER_SECOND, true, false));
        assertThat(replay.crashes()).isZero();
    }

    @Test
    void theTargetsReachTheirShareSoonAfterTheyAreWarm() {
        ColdZoneReplay replay = play(LIMITED);
        int warmMillis = ColdZoneReplay.COLD_MS;
        assertThat(replay.returnedShare(warmMillis + 2_000, warmMillis + 5_000)).isGreaterThan(0.3);
    }

    /** Prints the first ten seconds after the return of the zone, without a rate and with it. */
    public static void main(String[] arguments) {
        System.out.println("without a rate: " + play(BASELINE).describe());
        System.out.println("with a rate: " + play(LIMITED).describe());
        for (Options more : List.of(
                new Options(true, 0, 0, SHORT_PER_SECOND, false, false),
                new Options(true, 0.2, BLACKOUT_END_MS, SHORT_PER_SECOND, false, true),
                new Options(true, 0.2, BLACKOUT_END_MS, SHORT_PER_SECOND, true, false),
                new Options(false, 0, 0, 4 * SHORT_PER_SECOND, false, false),
                new Options(true, 0, 0, 4 * SHORT_PER_SECOND, false, false))) {
            System.out.println(more + ": " + play(more).describe());
        }
    }
}
