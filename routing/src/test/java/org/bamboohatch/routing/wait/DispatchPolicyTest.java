package org.bamboohatch.routing.wait;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.bamboohatch.document.fleet.EngineCostModel;
import org.bamboohatch.kernel.id.TargetName;
import org.bamboohatch.routing.fleet.Candidate;
import org.bamboohatch.routing.fleet.Demand;
import org.bamboohatch.routing.fleet.Workload;
import org.bamboohatch.routing.wait.DispatchDecision.Dispatch;
import org.bamboohatch.routing.wait.DispatchDecision.Reason;
import org.bamboohatch.routing.wait.DispatchDecision.Refuse;
import org.bamboohatch.routing.wait.DispatchDecision.Wait;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/** Requests are sent, wait or are refused depending on the load of the engines. */
class DispatchPolicyTest {

    private static final EngineCostModel ENGINE =
            new EngineCostModel(8, 344_250, 38, 1.31, 0.006, 0.00285, 154_000, 0.184, 2_048, 200, 0.05, 11_000, 1_600);

    private static final Demand SHORT = new Demand(4_960, 1_600, 304, 250);

    private static final Demand LONG = new Demand(260_000, 600, 4_010, 1_000);

    private static final int ENGINES = 20;

    private static QueuedGeneration request(Demand demand) {
        return new QueuedGeneration(1, Optional.empty(), 1, demand, 0, 15_000, 0.5);
    }

    private static Workload load(int runs, int strictRuns, double prefillMillis) {
        return new Workload(runs, runs, strictRuns, runs * 5_000.0, prefillMillis, runs * 6_500.0);
    }

    private static Candidate engine(int number, Workload load) {
        return new Candidate(new TargetName("engine-" + number), true, ENGINE.slots(), load, 0, 1);
    }

    private static Candidate engine(Candidate engine, Workload load) {
        return new Candidate(engine.name(), true, ENGINE.slots(), load, 0, 1);
    }

    /** Returns engines, of which the first ones have the given load and the others none. */
    private static List<Candidate> engines(int loaded, Workload load) {
        List<Candidate> engines = new ArrayList<>();
        for (int number = 0; number < ENGINES; number++) {
            engines.add(engine(number, number < loaded ? load : Workload.NONE));
        }
        return engines;
    }

    private static DispatchDecision decide(Demand demand, List<Candidate> engines) {
        return decide(demand, engines, WaitingElsewhere.NONE, WorkAhead.NONE);
    }

    private static DispatchDecision decide(
            Demand demand, List<Candidate> engines, WaitingElsewhere elsewhere, WorkAhead ahead) {
        return new DispatchPolicy(ENGINE, engines, elsewhere).decide(request(demand), ahead, 0);
    }

    @Test
    void everyRequestIsSentToIdleEngines() {
        assertThat(decide(SHORT, engines(0, Workload.NONE))).isInstanceOf(Dispatch.class);
        assertThat(decide(LONG, engines(0, Workload.NONE))).isInstanceOf(Dispatch.class);
    }

    /** Guards against engines that collect seconds of prefill, which a short question must then wait for. */
    @Test
    void aLongPromptWaitsWhileAllEnginesHaveAPrefillBacklog() {
        DispatchDecision decision = decide(LONG, engines(ENGINES, load(1, 0, 400)));
        assertThat(decision).isInstanceOfSatisfying(Wait.class, wait -> assertThat(wait.reason())
                .isEqualTo(Reason.BACKLOG));
        assertThat(decide(LONG, engines(ENGINES, load(1, 0, 100)))).isInstanceOf(Dispatch.class);
    }

    /** Guards against short questions that wait although an engine could start them. */
    @Test
    void aShortQuestionWaitsOnlyWhileAllSlotsAreTaken() {
        assertThat(decide(SHORT, engines(ENGINES, load(7, 7, 100)))).isInstanceOf(Dispatch.class);
        assertThat(decide(SHORT, engines(ENGINES - 1, load(8, 8, 0)))).isInstanceOf(Dispatch.class);
        assertThat(decide(SHORT, engines(ENGINES, load(8, 8, 0)))).isInstanceOf(Wait.class);
    }

    /** Guards against short questions that queue behind a long prompt at an engine with free slots. */
    @Test
    void aShortQuestionWaitsForAnEngineWithoutLongPrefill() {
        assertThat(decide(SHORT, engines(ENGINES, load(2, 2, 900))))
                .isInstanceOfSatisfying(
                        Wait.class, wait -> assertThat(wait.reason()).isEqualTo(Reason.BACKLOG));
        assertThat(decide(SHORT, engines(ENGINES - 1, load(2, 2, 900))))
                .isInstanceOfSatisfying(Dispatch.class, dispatch -> assertThat(
                                dispatch.placement().target().value())
                        .isEqualTo("engine-" + (ENGINES - 1)));
    }

    /** Guards against a flood of long prompts that stalls the streams of short questions. */
    @Test
    void aLongPromptTakesNoEngineWithStrictRequests() {
        List<Candidate> engines = new ArrayList<>(engines(9, load(4, 4, 0)));
        engines.set(0, engine(0, load(1, 0, 400)));
        assertThat(decide(LONG, engines))
                .isInstanceOfSatisfying(Dispatch.class, dispatch -> assertThat(enginesOf(dispatch))
                        .doesNotContain("engine-0", "engine-1", "engine-2", "engine-3", "engine-8"));
        engines.replaceAll(each -> each.load().runs() == 0 ? engine(each, load(4, 4, 0)) : each);
        assertThat(decide(LONG, engines)).isInstanceOf(Wait.class);
    }

    /** Guards against a small fleet in which each engine has a short question, so that long prompts would starve. */
    @Test
    void aLongPromptIsSentIfNoEngineHasABacklogAndNothingWaits() {
        List<Candidate> engines = engines(ENGINES, load(1, 1, 0)).subList(0, 3);
        assertThat(decide(LONG, engines)).isInstanceOf(Dispatch.class);
        assertThat(decide(LONG, engines, WaitingElsewhere.NONE, new WorkAhead(1_000, 0)))
                .isInstanceOf(Wait.class);
    }

    /** Guards against gateways that all use the same free engines because they learn of each other's dispatches late. */
    @Test
    void aLongPromptLeavesTheEnginesToAMoreUrgentOneElsewhere() {
        WaitingElsewhere urgent =
                new WaitingElsewhere(List.of(new WaitingElsewhere.Report(1, 7_000, 0, 100)), Map.of());
        WaitingElsewhere relaxed =
                new WaitingElsewhere(List.of(new WaitingElsewhere.Report(1, 7_000, 0, 100_000)), Map.of());
        List<Candidate> idle = engines(0, Workload.NONE);
        assertThat(decide(LONG, idle, urgent, WorkAhead.NONE))
                .isInstanceOfSatisfying(Dispatch.class, dispatch -> assertThat(enginesOf(dispatch))
                        .doesNotContain("engine-0", "engine-1", "engine-10", "engine-11"));
        assertThat(decide(LONG, idle.subList(0, 4), urgent, WorkAhead.NONE)).isInstanceOf(Wait.class);
        assertThat(decide(LONG, idle.subList(0, 4), relaxed, WorkAhead.NONE)).isInstanceOf(Dispatch.class);
    }

    private static List<String> enginesOf(Dispatch dispatch) {
        List<String> names =
                new ArrayList<>(List.of(dispatch.placement().target().value()));
        dispatch.placement().prefillHelpers().forEach(helper -> names.add(helper.value()));
        return names;
    }

    @Test
    void aRequestIsRefusedIfItsFirstEventWouldComeAfterItsCallerHasLeft() {
        DispatchDecision decision =
                decide(LONG, engines(ENGINES, load(6, 0, 400)), WaitingElsewhere.NONE, new WorkAhead(20 * 20_000, 0));
        assertThat(decision).isInstanceOfSatisfying(Refuse.class, refuse -> {
            assertThat(refuse.reason()).isEqualTo(Reason.TOO_LATE);
            assertThat(refuse.retryMillis()).isEqualTo(5_000);
        });
    }

    /** Guards against a refusal of requests that engines could take. */
    @Test
    void nothingIsRefusedWhileNothingWaitsAndHalfOfTheSlotsAreFree() {
        assertThat(decide(LONG, engines(ENGINES, load(3, 0, 60_000)))).isInstanceOf(Wait.class);
        assertThat(decide(LONG, engines(ENGINES, load(4, 0, 60_000)))).isInstanceOf(Refuse.class);
    }

    @Test
    void aPromptThatNoEnginesCouldHoldIsRefused() {
        DispatchDecision decision = decide(new Demand(4_000_000, 100, 4_010, 1_000), engines(0, Workload.NONE));
        assertThat(decision).isInstanceOfSatisfying(Refuse.class, refuse -> assertThat(refuse.reason())
                .isEqualTo(Reason.MEMORY));
    }
}
