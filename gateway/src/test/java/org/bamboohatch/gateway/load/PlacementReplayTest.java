package org.bamboohatch.gateway.load;

import org.bamboohatch.gateway.load.PlacementReplay.Load;
import org.bamboohatch.gateway.load.PlacementReplay.Outcome;
import org.bamboohatch.routing.fleet.PlacementPolicy;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/** Compares placement policies by replaying the same workloads on simulated engines. */
class PlacementReplayTest {

    private static final long SEED = 20_261_204;

    private static final int ENGINES = 23;

    private static final int SECONDS = 30;

    private static final int COMPARISON_SECONDS = 120;

    private static final int COMPARISON_SEEDS = 4;

    private static Outcome replay(PlacementPolicy policy, Load load) {
        return new PlacementReplay(policy, ENGINES, SEED).run(load, SECONDS);
    }

    /**
     * A large fleet whose zones hear of each other late. Its engines can carry the load, so fewer than five in a hundred
     * short requests may be late.
     */
    @Test
    void aLargeFleetServesShortRequestsInTime() {
        PlacementReplay.Fleet fleet = new PlacementReplay.Fleet(35, 195, 5);
        PlacementReplay replay = new PlacementReplay(PlacementPolicy.PREDICTED, fleet, SEED);
        PlacementReplay.Outcome outcome = replay.run(new PlacementReplay.Load(166, 4), 15);
        assertThat(outcome.shortRequests().requests()).isGreaterThan(1_000);
        assertThat(outcome.shortRequests().inTimeShare()).isGreaterThan(0.95);
        assertThat(outcome.longRequests().inTimeShare()).isGreaterThan(0.95);
        assertThat(replay.refused()).isZero();
    }

    @Test
    void predictionServesMoreMixedRequestsInTime() {
        Load load = new Load(29, 0.9);
        Outcome baseline = replay(PlacementPolicy.FEWEST_RUNS, load);
        Outcome predicted = replay(PlacementPolicy.PREDICTED, load);
        assertThat(lateShare(predicted)).isLessThan(lateShare(baseline) / 2);
        assertThat(predicted.longRequests().inTimeShare())
                .isGreaterThan(baseline.longRequests().inTimeShare());
    }

    @Test
    void predictionServesMoreRequestsInTimeAtHighRateOfLongOnes() {
        Load load = new Load(12, 2.5);
        Outcome baseline = replay(PlacementPolicy.FEWEST_RUNS, load);
        Outcome predicted = replay(PlacementPolicy.PREDICTED, load);
        assertThat(lateShare(predicted)).isLessThan(lateShare(baseline) / 2);
        assertThat(predicted.longRequests().inTimeShare())
                .isGreaterThan(baseline.longRequests().inTimeShare());
    }

    @Test
    void predictionServesNoFewerShortRequestsInTimeDuringBurst() {
        Load load = new Load(72, 0.05);
        Outcome baseline = replay(PlacementPolicy.FEWEST_RUNS, load);
        Outcome predicted = replay(PlacementPolicy.PREDICTED, load);
        assertThat(lateShare(predicted)).isLessThanOrEqualTo(lateShare(baseline));
    }

    @Test
    void theSameSeedGivesTheSameOutcome() {
        Load load = new Load(29, 0.9);
        assertThat(replay(PlacementPolicy.PREDICTED, load)).isEqualTo(replay(PlacementPolicy.PREDICTED, load));
    }

    private static double lateShare(Outcome outcome) {
        return 1 - outcome.shortRequests().inTimeShare();
    }

    /** Prints the results of each policy under each load. */
    public static void main(String[] arguments) {
        Load[] loads = {new Load(29, 0.9, 3), new Load(12, 2.5, 3), new Load(40, 2.5, 4), new Load(72, 0.05)};
        for (Load load : loads) {
            for (PlacementPolicy policy : PlacementPolicy.values()) {
                for (int seed = 1; seed <= COMPARISON_SEEDS; seed++) {
                    Outcome outcome = new PlacementReplay(policy, ENGINES, seed).run(load, COMPARISON_SECONDS);
                    System.out.printf(
                            "%s %s seed %d: short %.3f of %d, long %.3f of %d in time, %.3f of their tokens%n",
                            load,
                            policy,
                            seed,
                            outcome.shortRequests().inTimeShare(),
                            outcome.shortRequests().requests(),
                            outcome.longRequests().inTimeShare(),
                            outcome.longRequests().requests(),
                            outcome.longRequests().inTimeTokenShare());
                }
            }
        }
    }
}
