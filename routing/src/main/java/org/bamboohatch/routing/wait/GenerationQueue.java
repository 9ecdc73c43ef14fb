package org.bamboohatch.routing.wait;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.stream.Stream;

import org.bamboohatch.routing.wait.DispatchDecision.Reason;
import org.bamboohatch.routing.wait.DispatchDecision.Wait;

/** The generations of one service that wait at a gateway, up to a maximum number. */
public final class GenerationQueue {

    /** Waiting requests that are placed tentatively in one examination; limits its cost. */
    private static final int MAXIMUM_PLACED = 8;

    /** Share of its timeout after which a waiting request is no longer overtaken by those behind it. */
    private static final double OVERTAKEN_SHARE = 0.25;

    /** Share of its timeout after which a waiting request precedes all that have waited less. */
    private static final double PROMOTED_SHARE = 0.5;

    /** Precision of reported times, so that slight changes of the load cause no report. */
    private static final double REPORT_STEP_MILLIS = 20;

    private final int maximum;

    /** The waiting requests by number, in order of arrival. */
    private final Map<Long, QueuedGeneration> waiting = new LinkedHashMap<>();

    /**
     * A decision about a request that has left the queue.
     *
     * @param request the request
     * @param decision to send or to refuse it
     */
    public record Outcome(QueuedGeneration request, DispatchDecision decision) {}

    /**
     * Creates an empty queue.
     *
     * @param maximum maximum number of waiting requests
     */
    public GenerationQueue(int maximum) {
        this.maximum = maximum;
    }

    /**
     * Indicates whether no request waits.
     *
     * @return whether the queue is empty
     */
    public boolean isEmpty() {
        return waiting.isEmpty();
    }

    /**
     * Returns the number of waiting requests.
     *
     * @return the number, up to the maximum
     */
    public int size() {
        return waiting.size();
    }

    /**
     * Adds a request.
     *
     * @param request the request
     * @param policy decisions by the present load
     * @param now current time, in milliseconds
     * @return the request that is refused because the queue is full, which may be the added one
     */
    public Optional<Outcome> add(QueuedGeneration request, DispatchPolicy policy, long now) {
        waiting.put(request.number(), request);
        if (waiting.size() <= maximum) {
            return Optional.empty();
        }
        QueuedGeneration latest = waiting.values().stream()
                .min(Comparator.comparingDouble(each -> policy.slackMillis(each, now)))
                .orElseThrow();
        waiting.remove(latest.number());
        return Optional.of(new Outcome(
                latest, policy.refuse(latest, Reason.QUEUE_FULL, workOf(waiting.values().stream(), policy), now)));
    }

    /**
     * Removes a request that has ended otherwise.
     *
     * @param request the request
     * @return whether it was waiting
     */
    public boolean remove(QueuedGeneration request) {
        return waiting.remove(request.number()) != null;
    }

    /**
     * Returns the waiting work.
     *
     * @param policy decisions by the present load
     * @return the sum over all waiting requests
     */
    public WorkAhead work(DispatchPolicy policy) {
        return workOf(waiting.values().stream(), policy);
    }

    /**
     * Returns what other gateways need to know of the waiting requests.
     *
     * @param policy decisions by the present load
     * @param now current time, in milliseconds
     * @return one report for each priority
     */
    public List<WaitingElsewhere.Report> report(DispatchPolicy policy, long now) {
        Map<Integer, WaitingElsewhere.Report> reports = new TreeMap<>();
        for (QueuedGeneration request : inOrder(policy, now)) {
            WorkAhead work = work(request, policy);
            boolean strict = request.isStrict(policy.engine());
            double latestStart = strict
                    ? Double.POSITIVE_INFINITY
                    : REPORT_STEP_MILLIS * Math.round((now + policy.slackMillis(request, now)) / REPORT_STEP_MILLIS);
            reports.merge(
                    request.priority(),
                    new WaitingElsewhere.Report(
                            request.priority(), work.prefillMillis(), work.strictRequests(), latestStart),
                    WaitingElsewhere.Report::plus);
        }
        return List.copyOf(reports.values());
    }

    /**
     * Indicates whether a strict request waits.
     *
     * @param policy decisions by the present load
     * @return whether a new strict request has to wait behind another
     */
    public boolean hasStrict(DispatchPolicy policy) {
        return waiting.values().stream().anyMatch(each -> each.isStrict(policy.engine()));
    }

    private static WorkAhead workOf(Stream<QueuedGeneration> requests, DispatchPolicy policy) {
        return requests.map(each -> work(each, policy)).reduce(WorkAhead.NONE, WorkAhead::plus);
    }

    private static WorkAhead work(QueuedGeneration request, DispatchPolicy policy) {
        return request.isStrict(policy.engine())
                ? new WorkAhead(0, 1)
                : new WorkAhead(policy.engine().prefillMillis(request.demand().promptTokens()), 0);
    }

    /**
     * Removes the next request that is sent or refused. The load of the engines changes with each request that is sent, so
     * the next call needs a new policy.
     *
     * @param policy decisions by the present load
     * @param now current time, in milliseconds
     * @return the request and its decision, empty if all requests continue to wait
     */
    public Optional<Outcome> next(DispatchPolicy policy, long now) {
        WorkAhead ahead = WorkAhead.NONE;
        int placed = 0;
        Optional<Reason> blocked = Optional.empty();
        for (QueuedGeneration request : inOrder(policy, now)) {
            boolean strict = request.isStrict(policy.engine());
            boolean tried = blocked.isEmpty() || strict;
            DispatchDecision decision = tried && placed < MAXIMUM_PLACED
                    ? policy.decide(request, ahead, now)
                    : policy.waitOrRefuse(request, blocked.orElse(Reason.BACKLOG), ahead, now);
            if (!(decision instanceof Wait wait)) {
                waiting.remove(request.number());
                return Optional.of(new Outcome(request, decision));
            }
            placed += tried ? 1 : 0;
            if (!strict && request.waitedShare(now) > OVERTAKEN_SHARE) {
                blocked = Optional.of(wait.reason());
            }
            ahead = ahead.plus(work(request, policy));
        }
        return Optional.empty();
    }

    /**
     * Returns the waiting requests, the next one first. Those that can still be in time precede those that are late. The
     * latest strict request comes first: in order of arrival all of them would be late once there are more than slots.
     *
     * @param policy decisions by the present load
     * @param now current time, in milliseconds
     */
    private List<QueuedGeneration> inOrder(DispatchPolicy policy, long now) {
        List<QueuedGeneration> ordered = new ArrayList<>(waiting.values());
        ordered.sort(Comparator.comparingInt((QueuedGeneration each) -> effectivePriority(each, now))
                .thenComparing(each -> !each.isStrict(policy.engine()))
                .thenComparing(each -> policy.slackMillis(each, now) < 0)
                .thenComparingInt(policy.elsewhere()::accountRank)
                .thenComparingDouble(
                        each -> each.isStrict(policy.engine()) ? -each.wantedAt() : policy.slackMillis(each, now)));
        return ordered;
    }

    /**
     * Returns the priority of a request. One that has waited for half of its timeout precedes the others.
     *
     * @param request the request
     * @param now current time, in milliseconds
     */
    private static int effectivePriority(QueuedGeneration request, long now) {
        return request.waitedShare(now) > PROMOTED_SHARE ? -1 : request.priority();
    }
}
