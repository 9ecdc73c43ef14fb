package org.bamboohatch.routing.fleet;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.bamboohatch.document.fleet.EngineCostModel;
import org.bamboohatch.kernel.id.TargetName;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class EnginePlacementTest {

    private static final EngineCostModel ENGINE =
            new EngineCostModel(11, 315_000, 51, 0.85, 0.006, 0.00285, 177_000, 0.184, 2_048, 200, 0.05, 11_000, 1_600);

    private static final Demand SHORT = new Demand(5_000, 1_600, 300, 250);

    private static final Demand LONG = new Demand(154_000, 800, 3_000, 1_000);

    private static Candidate engine(int number, Workload load) {
        return new Candidate(new TargetName("engine-" + (char) ('a' + number)), true, 11, load, 0, 1);
    }

    private static List<Candidate> idle(int count) {
        List<Candidate> engines = new ArrayList<>();
        for (int number = 0; number < count; number++) {
            engines.add(engine(number, Workload.NONE));
        }
        return engines;
    }

    private static Placement place(Demand demand, List<Candidate> engines) {
        return PlacementPolicy.PREDICTED
                .place(demand, engines, Optional.of(ENGINE))
                .orElseThrow();
    }

    @Test
    void longPromptIsPrefilledByEnoughEnginesToMeetItsTarget() {
        Placement placement = place(LONG, idle(23));
        assertThat(ENGINE.prefillMillis(154_000)).isGreaterThan(3_000);
        assertThat(placement.prefillHelpers()).hasSizeBetween(4, 15).doesNotContain(placement.target());
        assertThat(placement.timeToFirstTokenMillis()).isLessThan(1_000);
    }

    @Test
    void shortRequestsArePackedOntoSomeEngines() {
        Map<TargetName, Integer> runs = new HashMap<>();
        for (int request = 0; request < 40; request++) {
            List<Candidate> engines = new ArrayList<>();
            for (Candidate engine : idle(23)) {
                int present = runs.getOrDefault(engine.name(), 0);
                Workload load = new Workload(present, present, present, present * 5_000, 0, present * 6_600);
                engines.add(new Candidate(engine.name(), true, 11, load, 0, 1));
            }
            runs.merge(place(SHORT, engines).target(), 1, Integer::sum);
        }
        assertThat(runs).hasSizeLessThan(12);
        assertThat(runs.values()).allMatch(count -> count <= 11);
    }

    /** Requests that cross zones cost bytes and are placed by older reports, so they do so only where it helps. */
    @Test
    void requestsStayInTheirZoneUnlessItsEnginesAreBusy() {
        List<Candidate> engines = new ArrayList<>();
        for (int number = 0; number < 12; number++) {
            Workload load = new Workload(1, 1, 1, 5_000, 0, 6_600);
            boolean sameZone = number >= 8;
            engines.add(new Candidate(new TargetName("engine-" + number), sameZone, 11, load, 0.5, 1));
        }
        assertThat(place(SHORT, engines).target().value()).isIn("engine-8", "engine-9", "engine-10", "engine-11");
        Placement divided = place(LONG, engines);
        assertThat(divided.target().value()).isIn("engine-8", "engine-9", "engine-10", "engine-11");
        engines.replaceAll(engine -> engine.sameZone()
                ? new Candidate(engine.name(), true, 11, engine.load().withPrefillMillis(400), 0.5, 1)
                : engine);
        assertThat(place(SHORT, engines).target().value()).isIn("engine-0", "engine-1", "engine-2", "engine-3");
    }

    @Test
    void shortRequestAvoidsEngineThatPrefillsLongPrompt() {
        List<Candidate> engines = new ArrayList<>(idle(2));
        engines.set(0, engine(0, new Workload(1, 0, 0, 0, 2_000, 154_000)));
        assertThat(place(SHORT, engines).target()).isEqualTo(new TargetName("engine-b"));
    }

    @Test
    void longPromptAvoidsEnginesThatDecodeStrictStreams() {
        List<Candidate> engines = new ArrayList<>(idle(6));
        engines.set(0, engine(0, new Workload(6, 6, 6, 30_000, 0, 40_000)));
        engines.set(1, engine(1, new Workload(6, 6, 6, 30_000, 0, 40_000)));
        Placement placement = place(LONG, engines);
        assertThat(placement.target().value()).isNotIn("engine-a", "engine-b");
        assertThat(placement.prefillHelpers()).doesNotContain(new TargetName("engine-a"), new TargetName("engine-b"));
    }

    @Test
    void engineWithoutFreeMemoryIsNotSelected() {
        List<Candidate> engines = new ArrayList<>(idle(2));
        engines.set(0, engine(0, new Workload(2, 2, 0, 200_000, 0, 200_000)));
        assertThat(place(LONG, engines).target()).isEqualTo(new TargetName("engine-b"));
    }

    @Test
    void promptLargerThanAnyMemoryIsDividedEvenly() {
        Demand huge = new Demand(700_000, 800, 3_000, 1_000);
        Placement placement = place(huge, idle(23));
        assertThat(placement.allocations()).hasSize(4);
        assertThat(placement.allocations()).allMatch(allocation -> allocation.tokens() <= 160_000);
        assertThat(placement.targetMemoryTokens(huge)).isBetween(100_000L, 160_000L);
        assertThat(placement.prefillHelpers().subList(0, 4))
                .isEqualTo(placement.allocations().stream()
                        .map(Placement.Allocation::engine)
                        .toList());
        assertThat(placement.prefillHelpers()).doesNotHaveDuplicates().doesNotContain(placement.target());
    }

    @Test
    void promptIsDividedWhenFreeMemoryIsShort() {
        List<Candidate> engines = new ArrayList<>();
        for (int number = 0; number < 6; number++) {
            engines.add(engine(number, new Workload(2, 2, 0, 200_000, 0, 200_000)));
        }
        Placement placement = place(LONG, engines);
        assertThat(placement.allocations()).hasSize(1);
        assertThat(placement.targetMemoryTokens(LONG)).isLessThan(115_000);
    }

    @Test
    void promptIsNotPlacedWithoutEnoughMemory() {
        Demand huge = new Demand(700_000, 800, 3_000, 1_000);
        assertThat(PlacementPolicy.PREDICTED.place(huge, idle(2), Optional.of(ENGINE)))
                .isEmpty();
        List<Candidate> full = List.of(engine(0, new Workload(3, 3, 0, 300_000, 0, 314_000)));
        assertThat(PlacementPolicy.PREDICTED.place(LONG, full, Optional.of(ENGINE)))
                .isEmpty();
        assertThat(PlacementPolicy.PREDICTED.place(SHORT, full, Optional.of(ENGINE)))
                .isEmpty();
    }

    @Test
    void longPromptAvoidsEnginesThatPrefillOtherPrompts() {
        List<Candidate> engines = new ArrayList<>();
        for (int number = 0; number < 12; number++) {
            engines.add(engine(number, number < 6 ? new Workload(0, 0, 0, 0, 150, 0) : Workload.NONE));
        }
        Placement placement = place(LONG, engines);
        List<TargetName> busy =
                engines.subList(0, 6).stream().map(Candidate::name).toList();
        assertThat(busy).doesNotContain(placement.target()).doesNotContainAnyElementsOf(placement.prefillHelpers());
    }

    @Test
    void longPromptIsNotDecodedOnEngineWithPrefillBacklog() {
        List<Candidate> engines = new ArrayList<>();
        for (int number = 0; number < 4; number++) {
            engines.add(engine(number, new Workload(0, 0, 0, 0, 1_200, 0)));
        }
        engines.add(engine(4, new Workload(3, 3, 3, 15_000, 0, 20_000)));
        assertThat(place(LONG, engines).target()).isEqualTo(new TargetName("engine-e"));
    }

    @Test
    void promptThatMissesItsTargetUsesFewerEngines() {
        List<Candidate> engines = new ArrayList<>();
        for (int number = 0; number < 23; number++) {
            engines.add(engine(number, number < 14 ? new Workload(1, 1, 0, 100_000, 0, 101_000) : Workload.NONE));
        }
        Placement placement = place(new Demand(700_000, 800, 3_000, 1_000), engines);
        assertThat(placement.timeToFirstTokenMillis()).isGreaterThan(3_000);
        assertThat(placement.prefillHelpers()).hasSizeLessThan(9);
    }

    @Test
    void plainServiceRequestUsesTargetWithFewestRuns() {
        List<Candidate> servers =
                List.of(engine(0, new Workload(3, 0, 0, 0, 0, 0)), engine(1, new Workload(1, 0, 0, 0, 0, 0)));
        Demand call = new Demand(0, 0, 120, 0);
        assertThat(PlacementPolicy.PREDICTED
                        .place(call, servers, Optional.empty())
                        .orElseThrow()
                        .target())
                .isEqualTo(new TargetName("engine-b"));
    }
}
