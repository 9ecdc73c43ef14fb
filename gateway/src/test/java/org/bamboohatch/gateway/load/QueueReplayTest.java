package org.bamboohatch.gateway.load;

import java.util.List;

import org.bamboohatch.document.fleet.EngineCostModel;
import org.bamboohatch.gateway.load.PlacementReplay.Outcome;
import org.bamboohatch.gateway.load.PlacementReplay.Phase;
import org.bamboohatch.routing.fleet.PlacementPolicy;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/** Replays the load of the first installation with requests sent at once, and with the queue of gateways. */
class QueueReplayTest {

    /** The engines of the first installation. */
    static final EngineCostModel ENGINE =
            new EngineCostModel(8, 344_250, 38, 1.31, 0.006, 0.00285, 154_000, 0.184, 2_048, 200, 0.05, 11_000, 1_600);

    private static final PlacementReplay.Fleet FLEET = new PlacementReplay.Fleet(12, 54, 3);

    private static final List<Phase> FLOOD = List.of(
            new Phase(3, 53, 3.7, 1.2),
            new Phase(4, 19, 4.8, 13),
            new Phase(5, 19, 4.8, 0.06),
            new Phase(8, 133, 3.7, 0.06));

    /** Long prompts, then more short questions than the engines that are left have slots for. */
    private static final List<Phase> SHORT_FLOOD =
            List.of(new Phase(3, 53, 3.7, 1.2), new Phase(3, 19, 4.8, 4), new Phase(9, 180, 1.8, 0.06));

    private static final PlacementReplay.Fleet REMAINING_FLEET = new PlacementReplay.Fleet(12, 42, 3);

    private static final List<Phase> LIGHT = List.of(new Phase(20, 30, 1, 0.3));

    private static final long SEED = 20_261_206;

    private static final int MAXIMUM_WAITING = 512;

    private static Outcome replay(List<Phase> phases, int maximumWaiting, long seed) {
        return new PlacementReplay(PlacementPolicy.PREDICTED, FLEET, ENGINE, maximumWaiting, seed).run(phases);
    }

    /**
     * Short questions beside a flood of long prompts. Guards against engines that hold seconds of prefill, which delay each
     * short question until they have done it.
     */
    @Test
    void aFloodOfLongPromptsDelaysFewerShortQuestions() {
        Outcome atOnce = replay(FLOOD, 0, SEED);
        Outcome queued = replay(FLOOD, MAXIMUM_WAITING, SEED);
        assertThat(1 - queued.shortRequests().inTimeShare())
                .isLessThan((1 - atOnce.shortRequests().inTimeShare()) / 2);
        assertThat(queued.mediumRequests().inTimeShare())
                .isGreaterThan(atOnce.mediumRequests().inTimeShare());
        assertThat(queued.longRequests().inTimeShare())
                .isGreaterThan(atOnce.longRequests().inTimeShare());
    }

    private static Outcome replayShortFlood(int maximumWaiting, long seed) {
        return new PlacementReplay(
                        PlacementPolicy.PREDICTED, REMAINING_FLEET, ENGINE, ENGINE.slots(), maximumWaiting, seed)
                .run(SHORT_FLOOD);
    }

    /**
     * Short questions exceed the slots of the engines, some of which still prefill long prompts. Guards against requests
     * that queue at engines in order of arrival, so that all of them are late.
     */
    @Test
    void aFloodOfShortQuestionsIsServedInTimeAsFarAsSlotsAllow() {
        Outcome atOnce = replayShortFlood(0, SEED);
        Outcome queued = replayShortFlood(MAXIMUM_WAITING, SEED);
        assertThat(queued.shortRequests().inTime())
                .isGreaterThan(atOnce.shortRequests().inTime() * 3 / 2);
    }

    /** Guards against a queue that holds back requests though engines could start them. */
    @Test
    void lightLoadGivesTheSameResult() {
        assertThat(replay(LIGHT, MAXIMUM_WAITING, SEED)).isEqualTo(replay(LIGHT, 0, SEED));
    }

    /** Prints the results of both ways for several seeds. */
    public static void main(String[] arguments) {
        for (int seed = 1; seed <= 6; seed++) {
            for (int maximumWaiting : new int[] {0, MAXIMUM_WAITING}) {
                System.out.println("short flood, " + maximumWaiting + " waiting, seed " + seed + ": "
                        + replayShortFlood(maximumWaiting, seed));
            }
            for (List<Phase> phases : List.of(FLOOD, LIGHT)) {
                for (int maximumWaiting : new int[] {0, MAXIMUM_WAITING}) {
                    PlacementReplay replay =
                            new PlacementReplay(PlacementPolicy.PREDICTED, FLEET, ENGINE, maximumWaiting, seed);
                    Outcome outcome = replay.run(phases);
                    System.out.printf(
                            "%s %s seed %d: short %.3f of %d, medium %.3f of %d, long %.3f of %d in time, %.3f of their tokens, %d refused%n",
                            phases == FLOOD ? "flood" : "light",
                            maximumWaiting == 0 ? "at once" : "queued",
                            seed,
                            outcome.shortRequests().inTimeShare(),
                            outcome.shortRequests().requests(),
                            outcome.mediumRequests().inTimeShare(),
                            outcome.mediumRequests().requests(),
                            outcome.longRequests().inTimeShare(),
                            outcome.longRequests().requests(),
                            outcome.longRequests().inTimeTokenShare(),
                            replay.refused());
                }
            }
        }
    }
}
