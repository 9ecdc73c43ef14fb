package org.bamboohatch.routing.wait;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.stream.IntStream;

import org.bamboohatch.document.fleet.EngineCostModel;
import org.bamboohatch.kernel.id.AccountName;
import org.bamboohatch.kernel.id.TargetName;
import org.bamboohatch.routing.fleet.Candidate;
import org.bamboohatch.routing.fleet.Demand;
import org.bamboohatch.routing.fleet.Workload;
import org.bamboohatch.routing.wait.DispatchDecision.Dispatch;
import org.bamboohatch.routing.wait.DispatchDecision.Reason;
import org.bamboohatch.routing.wait.DispatchDecision.Refuse;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/** The order in which waiting generations leave the queue. */
class GenerationQueueTest {

    private static final EngineCostModel ENGINE =
            new EngineCostModel(8, 344_250, 38, 1.31, 0.006, 0.00285, 154_000, 0.184, 2_048, 200, 0.05, 11_000, 1_600);

    private static final Demand SHORT = new Demand(4_960, 1_600, 304, 250);

    private static final Demand LONG = new Demand(260_000, 600, 4_010, 1_000);

    private static final long TIMEOUT = 15_000;

    private static QueuedGeneration request(long number, int priority, Demand demand, long arrivedAt) {
        return new QueuedGeneration(number, Optional.empty(), priority, demand, arrivedAt, arrivedAt + TIMEOUT, 0.5);
    }

    private static List<Candidate> engines(Workload load) {
        return IntStream.range(0, 20)
                .mapToObj(number -> new Candidate(new TargetName("engine-" + number), true, ENGINE.slots(), load, 0, 1))
                .toList();
    }

    private static DispatchPolicy policy(Workload load) {
        return new DispatchPolicy(ENGINE, engines(load), WaitingElsewhere.NONE);
    }

    private static DispatchPolicy idle() {
        return policy(Workload.NONE);
    }

    private static GenerationQueue queue(int maximum, List<QueuedGeneration> requests) {
        GenerationQueue queue = new GenerationQueue(maximum);
        requests.forEach(
                each -> assertThat(queue.add(each, idle(), each.arrivedAt())).isEmpty());
        return queue;
    }

    private static List<Long> order(GenerationQueue queue, long now) {
        List<Long> numbers = new ArrayList<>();
        while (!queue.isEmpty()) {
            GenerationQueue.Outcome outcome = queue.next(idle(), now).orElseThrow();
            assertThat(outcome.decision()).isInstanceOf(Dispatch.class);
            numbers.add(outcome.request().number());
        }
        return numbers;
    }

    @Test
    void strictRequestsPrecedeRelaxedOnesAndPrioritiesPrecedeBoth() {
        GenerationQueue queue =
                queue(9, List.of(request(1, 2, SHORT, 0), request(2, 1, LONG, 0), request(3, 1, SHORT, 0)));
        assertThat(order(queue, 10)).containsExactly(3L, 2L, 1L);
    }

    /** Guards against a queue that serves late requests first and thereby makes all others late too. */
    @Test
    void requestsThatCanBeInTimePrecedeLateOnes() {
        GenerationQueue queue =
                queue(9, List.of(request(1, 1, LONG, 0), request(2, 1, LONG, 3_000), request(3, 1, LONG, 2_900)));
        assertThat(order(queue, 4_000)).containsExactly(3L, 2L, 1L);
    }

    /** Guards against a client account whose flood makes the few requests of the others late. */
    @Test
    void requestsOfTheAccountThatWasServedLessComeFirst() {
        AccountName large = new AccountName("large");
        AccountName small = new AccountName("small");
        GenerationQueue queue = queue(
                9,
                List.of(
                        new QueuedGeneration(1, Optional.of(large), 1, LONG, 0, TIMEOUT, 0.5),
                        new QueuedGeneration(2, Optional.of(small), 1, LONG, 100, TIMEOUT, 0.5)));
        AccountTokens tokens = new AccountTokens();
        tokens.add(large, 2_000_000, 0);
        tokens.add(small, 260_000, 0);
        WaitingElsewhere served = new WaitingElsewhere(List.of(), tokens.all(200));
        assertThat(queue.next(new DispatchPolicy(ENGINE, engines(Workload.NONE), served), 200)
                        .map(each -> each.request().number()))
                .contains(2L);
        assertThat(tokens.all(300_000)).isEmpty();
    }

    /** Guards against starvation: the others would always be more urgent. */
    @Test
    void aRequestThatHasWaitedForHalfOfItsTimeoutPrecedesTheOthers() {
        GenerationQueue queue = queue(9, List.of(request(1, 2, LONG, 0), request(2, 0, LONG, 8_000)));
        assertThat(order(queue, 8_000)).containsExactly(1L, 2L);
    }

    /** Guards against smaller requests that take the memory which a prompt of several engines waits for. */
    @Test
    void aPromptWithoutMemoryIsOvertakenForAQuarterOfItsTimeout() {
        Workload nearlyFull = new Workload(1, 1, 0, 0, 0, 200_000);
        Demand huge = new Demand(1_300_000, 100, 4_010, 1_000);
        Demand fitting = new Demand(100_000, 100, 4_010, 1_000);
        GenerationQueue early = queue(9, List.of(request(1, 0, huge, 0), request(3, 1, fitting, 0)));
        assertThat(early.next(policy(nearlyFull), 1_000)
                        .map(each -> each.request().number()))
                .contains(3L);
        GenerationQueue late = queue(9, List.of(request(1, 0, huge, 0), request(3, 1, fitting, 0)));
        assertThat(late.next(policy(nearlyFull), 3_800).filter(each -> each.decision() instanceof Dispatch))
                .isEmpty();
    }

    /** Guards against a full queue that turns away requests which could still be in time. */
    @Test
    void aFullQueueRefusesTheRequestThatIsLeastLikelyToBeInTime() {
        GenerationQueue queue = queue(2, List.of(request(1, 1, LONG, 0), request(2, 1, LONG, 3_000)));
        Optional<GenerationQueue.Outcome> refused = queue.add(request(3, 1, LONG, 4_000), idle(), 4_000);
        assertThat(refused.map(each -> each.request().number())).contains(1L);
        assertThat(refused.orElseThrow().decision())
                .isInstanceOfSatisfying(
                        Refuse.class, refuse -> assertThat(refuse.reason()).isEqualTo(Reason.QUEUE_FULL));
        assertThat(queue.size()).isEqualTo(2);
    }

    @Test
    void aWaitingRequestIsRefusedOnceItIsTooLate() {
        GenerationQueue queue = queue(9, List.of(request(1, 1, LONG, 0)));
        DispatchPolicy busy = policy(new Workload(6, 6, 0, 30_000, 5_000, 40_000));
        assertThat(queue.next(busy, 1_000)).isEmpty();
        assertThat(queue.next(busy, 14_000).map(GenerationQueue.Outcome::decision))
                .containsInstanceOf(Refuse.class);
    }

    /** Other gateways order themselves by what this one reports. */
    @Test
    void theReportNamesTheWorkOfEachPriority() {
        GenerationQueue queue =
                queue(9, List.of(request(1, 1, LONG, 0), request(2, 1, SHORT, 0), request(3, 2, LONG, 100)));
        List<WaitingElsewhere.Report> reports = queue.report(idle(), 200);
        assertThat(reports).extracting(WaitingElsewhere.Report::priority).containsExactly(1, 2);
        assertThat(reports.get(0).strictRequests()).isEqualTo(1);
        assertThat(reports.get(0).prefillMillis()).isEqualTo(ENGINE.prefillMillis(LONG.promptTokens()));
        assertThat(reports.get(1).relaxedLatestStart()).isEqualTo(reports.get(0).relaxedLatestStart() + 100);
    }
}
