package org.bamboohatch.gateway.load;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.bamboohatch.document.fleet.EngineCostModel;
import org.bamboohatch.gateway.load.SimulatedEngine.Generation;
import org.bamboohatch.kernel.id.AccountName;
import org.bamboohatch.kernel.id.ServiceName;
import org.bamboohatch.routing.fleet.Candidate;
import org.bamboohatch.routing.fleet.Demand;
import org.bamboohatch.routing.fleet.Placement;
import org.bamboohatch.routing.wait.DispatchDecision;
import org.bamboohatch.routing.wait.DispatchPolicy;
import org.bamboohatch.routing.wait.GenerationQueue;
import org.bamboohatch.routing.wait.QueuedGeneration;

/** The queues of the gateways of a replay. */
final class ReplayedQueues {

    /** Interval at which each gateway examines its queue, and the shift between two gateways. */
    private static final int EXAMINATION_INTERVAL_MILLIS = 25;

    private static final int SHIFT_MILLIS = 7;

    private static final double TIMEOUT_SHORT_MILLIS = 10_000;

    private static final double TIMEOUT_LONG_MILLIS = 15_000;

    private static final ServiceName SERVICE = new ServiceName("engines");

    private static final int ACCOUNTS = 24;

    private final EngineCostModel engine;

    private final List<GenerationQueue> queues = new ArrayList<>();

    private final List<WaitingWork> waitingWork = new ArrayList<>();

    /** Changes to report to gateways of the same zone, by gateway. */
    private final List<WaitingWork.PendingReport> nearReports = new ArrayList<>();

    /** Changes to report to gateways in other zones, by gateway. */
    private final List<WaitingWork.PendingReport> farReports = new ArrayList<>();

    private final Map<Long, Generation> generations = new HashMap<>();

    private long added;

    private int refused;

    interface Candidates {
        List<Candidate> at(int gateway, int now);
    }

    interface Dispatcher {
        void dispatch(int gateway, Generation generation, Placement placement, int now);
    }

    ReplayedQueues(int gateways, int maximum, EngineCostModel engine) {
        this.engine = engine;
        for (int gateway = 0; gateway < gateways; gateway++) {
            queues.add(new GenerationQueue(maximum));
            waitingWork.add(new WaitingWork("gateway-" + gateway));
            nearReports.add(waitingWork.get(gateway).newReport());
            farReports.add(waitingWork.get(gateway).newReport());
        }
    }

    static Demand demand(Generation generation) {
        return new Demand(
                generation.promptTokens,
                (long) generation.remainingOutputTokens,
                generation.targetLatencyMillis,
                generation.maximumInterTokenMillis);
    }

    void add(int gateway, Generation generation, int now, Candidates candidates, Dispatcher dispatcher) {
        added++;
        generations.put(added, generation);
        double timeout = generation.targetLatencyMillis > 3_000 ? TIMEOUT_LONG_MILLIS : TIMEOUT_SHORT_MILLIS;
        QueuedGeneration request = new QueuedGeneration(
                added,
                Optional.of(new AccountName("account-" + added % ACCOUNTS)),
                1,
                demand(generation),
                now,
                now + (long) timeout,
                added % 7 / 7.0);
        GenerationQueue queue = queues.get(gateway);
        DispatchPolicy policy = policy(gateway, candidates, now);
        if (queue.isEmpty() || request.isStrict(engine) && !queue.hasStrict(policy)) {
            DispatchDecision decision = policy.decide(request, queue.work(policy), now);
            if (decision instanceof DispatchDecision.Wait) {
                queue.add(request, policy, now).ifPresent(outcome -> refused++);
                waitingWork.get(gateway).setOwn(SERVICE, queue.report(policy, now));
            } else {
                apply(gateway, new GenerationQueue.Outcome(request, decision), now, dispatcher);
            }
            return;
        }
        queue.add(request, policy, now).ifPresent(outcome -> refused++);
        examine(gateway, now, candidates, dispatcher);
    }

    private DispatchPolicy policy(int gateway, Candidates candidates, int now) {
        return new DispatchPolicy(
                engine, candidates.at(gateway, now), waitingWork.get(gateway).elsewhere(SERVICE, true, now));
    }

    /** Returns what a gateway reports, or null if nothing. */
    GatewayLoad.WaitingState takeReport(int gateway, boolean near, boolean complete, int now) {
        return (near ? nearReports : farReports)
                .get(gateway)
                .take(complete, now)
                .orElse(null);
    }

    void applyReport(int from, int to, GatewayLoad.WaitingState report, int now) {
        waitingWork.get(to).apply("gateway-" + from, report, now);
    }

    void examine(int now, Candidates candidates, Dispatcher dispatcher) {
        for (int gateway = 0; gateway < queues.size(); gateway++) {
            if ((now + SHIFT_MILLIS * gateway) % EXAMINATION_INTERVAL_MILLIS == 0) {
                examine(gateway, now, candidates, dispatcher);
            }
        }
    }

    private void examine(int gateway, int now, Candidates candidates, Dispatcher dispatcher) {
        GenerationQueue queue = queues.get(gateway);
        boolean more = !queue.isEmpty();
        while (more) {
            DispatchPolicy policy = policy(gateway, candidates, now);
            Optional<GenerationQueue.Outcome> outcome = queue.next(policy, now);
            outcome.ifPresent(each -> apply(gateway, each, now, dispatcher));
            waitingWork.get(gateway).setOwn(SERVICE, queue.report(policy, now));
            more = outcome.isPresent() && !queue.isEmpty();
        }
    }

    private void apply(int gateway, GenerationQueue.Outcome outcome, int now, Dispatcher dispatcher) {
        if (outcome.decision() instanceof DispatchDecision.Dispatch dispatch) {
            outcome.request().account().ifPresent(account -> waitingWork
                    .get(gateway)
                    .recordServed(account, outcome.request().demand().memoryTokens(), now));
            dispatcher.dispatch(gateway, generations.get(outcome.request().number()), dispatch.placement(), now);
        } else {
            refused++;
        }
    }

    int sizes() {
        return queues.stream().mapToInt(GenerationQueue::size).sum();
    }

    int refused() {
        return refused;
    }
}
