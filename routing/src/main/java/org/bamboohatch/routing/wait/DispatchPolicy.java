package org.bamboohatch.routing.wait;

import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;

import org.bamboohatch.document.fleet.EngineCostModel;
import org.bamboohatch.kernel.id.TargetName;
import org.bamboohatch.routing.fleet.Candidate;
import org.bamboohatch.routing.fleet.Demand;
import org.bamboohatch.routing.fleet.Placement;
import org.bamboohatch.routing.fleet.PlacementPolicy;
import org.bamboohatch.routing.fleet.Workload;
import org.bamboohatch.routing.wait.DispatchDecision.Dispatch;
import org.bamboohatch.routing.wait.DispatchDecision.Reason;
import org.bamboohatch.routing.wait.DispatchDecision.Refuse;
import org.bamboohatch.routing.wait.DispatchDecision.Wait;

/**
 * Decides whether a generation is sent to engines, waits at the gateway, or is refused. Addresses floods of long prompts
 * beside short questions: work that engines hold can't be reordered, so a flood that is sent at once delays each short
 * question until the engines have prefilled all of it. A relaxed prompt therefore waits until engines can begin it.
 *
 * <p>An instance decides by the load of the engines at one moment.
 */
public final class DispatchPolicy {

    /** Prefill backlog up to which an engine takes a further prompt, so that it is never without work. */
    private static final double BACKLOG_LIMIT_MILLIS = 150;

    /**
     * Decode passes until the first event of a strict request at an engine without a free slot: half a pass until its
     * prefill begins on average, the pass of its prefill, and the one that makes the event.
     */
    private static final double STRICT_PASSES = 2;

    /** Prefill backlog above which an engine prefills long prompts and frees no slots for strict requests for a while. */
    private static final double LONG_BACKLOG_MILLIS = 500;

    /** Strict requests for which engines are kept free of relaxed prefill, relative to those that run. */
    private static final double STRICT_HEADROOM = 1.5;

    /** Share of an engine's slots that strict requests fill before they use the next engine. */
    private static final double FILL_SHARE = 0.75;

    /** Share of the engines that the prediction of the wait assumes for relaxed prefill at least. */
    private static final double MINIMUM_RELAXED_SHARE = 0.25;

    /** Number of engines that prefill one prompt at most, as {@link PlacementPolicy#PREDICTED} divides it. */
    private static final int MAXIMUM_PREFILL_ENGINES = 17;

    /** Longest part of a prompt for one engine, relative to the maximum gap of the streams that the part stalls. */
    private static final double PART_GAP_SHARE = 0.6;

    /** Longest part of a prompt for one engine, relative to its parts if as many engines as possible share it. */
    private static final double PART_TOLERANCE = 1.5;

    /** Time before its last moment at which a prompt may use the engines that are kept for strict requests. */
    private static final double LAST_CHANCE_MILLIS = 500;

    /**
     * Number of free engines left to each gateway whose next prompt is more urgent. If all engines that such a prompt can
     * use are left to it, engines idle until the next report.
     */
    private static final int ENGINES_LEFT_TO_OTHERS = 4;

    /** Maximum share of a refused caller's remaining time that its retry delay takes. */
    private static final double MAXIMUM_RETRY_SHARE = 1.0 / 3;

    private static final long MINIMUM_RETRY_MS = 100;

    /** Fraction of the retry delay over which the return of callers is spread. */
    private static final double RETRY_SPREAD = 0.5;

    private final EngineCostModel engine;

    private final List<Candidate> candidates;

    private final WaitingElsewhere elsewhere;

    /** Sums over the engines, or null until they are needed. */
    private Totals totals;

    /**
     * Sums over all engines.
     *
     * @param runs number of requests at them
     * @param slots number of requests that they process concurrently
     * @param strictSlots those of engines that do not prefill long prompts
     * @param backlogMillis prefill backlog, in milliseconds
     * @param shortestBacklogMillis prefill backlog of the engine with the least, in milliseconds
     * @param reserved number of engines that are kept free of relaxed prefill
     */
    private record Totals(
            int runs, int slots, int strictSlots, double backlogMillis, double shortestBacklogMillis, int reserved) {}

    /**
     * Creates the decisions at one moment.
     *
     * @param engine cost model of the engines
     * @param candidates the engines and their load
     * @param elsewhere what waits at other gateways
     */
    public DispatchPolicy(EngineCostModel engine, List<Candidate> candidates, WaitingElsewhere elsewhere) {
        this.engine = engine;
        this.candidates = candidates;
        this.elsewhere = elsewhere;
    }

    EngineCostModel engine() {
        return engine;
    }

    WaitingElsewhere elsewhere() {
        return elsewhere;
    }

    /**
     * Decides about one request.
     *
     * @param request the request
     * @param ahead what waits at this gateway and is expected to be sent before it
     * @param now current time, in milliseconds
     * @return the decision
     */
    public DispatchDecision decide(QueuedGeneration request, WorkAhead ahead, long now) {
        Optional<Placement> placement = place(request.demand(), candidates);
        if (request.isStrict(engine)) {
            return decideStrict(request, placement, ahead, now);
        }
        if (placement.isEmpty()) {
            return waitOrRefuse(request, Reason.MEMORY, ahead, now);
        }
        int preceding = elsewhere.precedingGateways(request.priority(), now + slackMillis(request, now), now);
        boolean next = preceding == 0 && ahead.isEmpty();
        if (next && hasNoBacklog() || leavesRoom(placement.get(), request.demand(), preceding > 0)) {
            return new Dispatch(placement.get());
        }
        return placeOnReady(request, preceding, now)
                .<DispatchDecision>map(Dispatch::new)
                .orElseGet(() -> waitOrRefuse(request, Reason.BACKLOG, ahead, now));
    }

    /**
     * Decides about a strict request. It waits if it would only queue at an engine: for a slot, or behind the prefill of a
     * long prompt, during which an engine with a free slot is of little use.
     *
     * @param request the request
     * @param placement its placement among all engines, empty if none has memory
     * @param ahead what waits at this gateway and is expected to be sent before it
     * @param now current time, in milliseconds
     */
    private DispatchDecision decideStrict(
            QueuedGeneration request, Optional<Placement> placement, WorkAhead ahead, long now) {
        if (placement.isEmpty()) {
            return waitOrRefuse(request, Reason.MEMORY, ahead, now);
        }
        boolean shared = !elsewhere.slotShare().others().isEmpty();
        if (!shared && beginsInTime(placement.get(), request, now)) {
            return new Dispatch(placement.get());
        }
        List<Candidate> ready =
                candidates.stream().filter(DispatchPolicy::isReady).toList();
        return place(request.demand(), shared ? ownShare(ready) : ready)
                .<DispatchDecision>map(Dispatch::new)
                .orElseGet(() -> waitForReadyEngine(request, ahead, now));
    }

    /**
     * Decides about a strict request that no engine can begin now. Where waiting is in vain, an engine with a free slot may
     * still answer it before its caller leaves, though late.
     *
     * @param request the request
     * @param ahead what waits at this gateway and is expected to be sent before it
     * @param now current time, in milliseconds
     */
    private DispatchDecision waitForReadyEngine(QueuedGeneration request, WorkAhead ahead, long now) {
        DispatchDecision decision = waitOrRefuse(request, strictReason(), ahead, now);
        if (decision instanceof Wait) {
            return decision;
        }
        List<Candidate> free =
                candidates.stream().filter(DispatchPolicy::hasFreeSlot).toList();
        return place(request.demand(), free)
                .filter(placement -> now + placement.timeToFirstTokenMillis() <= request.latestFirstEventAt())
                .<DispatchDecision>map(Dispatch::new)
                .orElse(decision);
    }

    private List<Candidate> ownShare(List<Candidate> engines) {
        return engines.stream()
                .filter(candidate -> elsewhere.slotShare().includes(candidate.name()))
                .toList();
    }

    private boolean beginsInTime(Placement placement, QueuedGeneration request, long now) {
        Candidate target = candidates.stream()
                .filter(candidate -> candidate.name().equals(placement.target()))
                .findFirst()
                .orElseThrow();
        return hasFreeSlot(target)
                && (isReady(target) || now + placement.timeToFirstTokenMillis() <= request.wantedAt());
    }

    private Reason strictReason() {
        return candidates.stream().anyMatch(DispatchPolicy::hasFreeSlot) ? Reason.BACKLOG : Reason.SLOTS;
    }

    private Optional<Placement> place(Demand demand, List<Candidate> engines) {
        return PlacementPolicy.PREDICTED.place(demand, engines, Optional.of(engine));
    }

    private static boolean hasFreeSlot(Candidate candidate) {
        return candidate.load().runs() < candidate.slots();
    }

    /**
     * Indicates whether an engine can begin a further prompt soon.
     *
     * @param candidate the engine
     */
    private static boolean isReady(Candidate candidate) {
        return candidate.load().prefillMillis() <= BACKLOG_LIMIT_MILLIS && hasFreeSlot(candidate);
    }

    /**
     * Indicates whether no engine has a prefill backlog. The most urgent prompt is then sent as without a queue, so that it
     * does not wait for engines that strict requests use a little, as all do in a small fleet.
     */
    private boolean hasNoBacklog() {
        return candidates.stream().anyMatch(DispatchPolicy::hasFreeSlot)
                && candidates.stream().allMatch(each -> each.load().prefillMillis() <= BACKLOG_LIMIT_MILLIS);
    }

    /**
     * Indicates whether all engines of a placement can begin the prompt soon, and those that strict requests need remain
     * free of relaxed prefill.
     *
     * @param placement the placement of a relaxed prompt
     * @param demand what the prompt needs
     * @param others whether other prompts precede it, so that it may only use engines that remain free
     */
    private boolean leavesRoom(Placement placement, Demand demand, boolean others) {
        Set<TargetName> chosen = new HashSet<>(placement.prefillHelpers());
        chosen.add(placement.target());
        double partMillis = engine.prefillMillis(demand.promptTokens()) / chosen.size();
        int free = 0;
        for (Candidate candidate : candidates) {
            boolean isChosen = chosen.contains(candidate.name());
            if (isChosen && !isReady(candidate)) {
                return false;
            }
            double backlog = candidate.load().prefillMillis() + (isChosen ? partMillis : 0);
            boolean staysFree = backlog <= BACKLOG_LIMIT_MILLIS;
            if (isChosen && !staysFree && (others || candidate.load().strictRuns() > 0)) {
                return false;
            }
            free += staysFree ? 1 : 0;
        }
        return others || free >= totals().reserved();
    }

    /**
     * Places a relaxed prompt on engines that can begin it soon. As long as it can still be in time otherwise, it uses
     * neither the engines that are kept for strict requests, nor so few that its parts stall other streams.
     *
     * @param request the request
     * @param preceding number of gateways that send a request before this one
     * @param now current time, in milliseconds
     * @return the placement, empty if waiting is better
     */
    private Optional<Placement> placeOnReady(QueuedGeneration request, int preceding, long now) {
        List<Candidate> ready =
                candidates.stream().filter(DispatchPolicy::isReady).toList();
        if (ready.isEmpty()) {
            return Optional.empty();
        }
        List<Candidate> unreserved = ready.stream()
                .filter(candidate -> candidate.load().strictRuns() == 0)
                .sorted(Comparator.comparing(
                                (Candidate candidate) -> candidate.load().prefillMillis())
                        .reversed()
                        .thenComparing(Candidate::name))
                .limit(Math.max(0, ready.size() - totals().reserved()))
                .skip((long) preceding * ENGINES_LEFT_TO_OTHERS)
                .toList();
        Optional<Placement> placement = placeInParts(request, unreserved);
        boolean canWait = now + ownMillis(request) < request.latestFirstEventAt() - LAST_CHANCE_MILLIS;
        return placement.isPresent() || canWait ? placement : placeInParts(request, ready);
    }

    /**
     * Places a relaxed prompt if enough engines share its prefill.
     *
     * @param request the request
     * @param engines engines that may be selected
     * @return the placement, empty if a part would stall other streams for too long
     */
    private Optional<Placement> placeInParts(QueuedGeneration request, List<Candidate> engines) {
        Demand demand = request.demand();
        double prefillMillis = engine.prefillMillis(demand.promptTokens());
        double maximumPartMillis = Math.max(
                PART_GAP_SHARE * demand.maximumInterTokenMillis(),
                PART_TOLERANCE * prefillMillis / Math.min(MAXIMUM_PREFILL_ENGINES, relaxedEngines()));
        return place(demand, engines)
                .filter(each -> prefillMillis / (1 + each.prefillHelpers().size()) <= maximumPartMillis);
    }

    /**
     * Decides about a request that is not sent now.
     *
     * @param request the request
     * @param reason what it would wait for
     * @param ahead what waits and is expected to be sent before it, at this gateway
     * @param now current time, in milliseconds
     * @return the decision to wait or to refuse
     */
    DispatchDecision waitOrRefuse(QueuedGeneration request, Reason reason, WorkAhead ahead, long now) {
        WorkAhead everywhere = ahead.plus(elsewhere.ahead(request.priority()));
        double waitMillis = waitMillis(request, everywhere);
        double firstEventMillis = waitMillis + ownMillis(request);
        boolean idle = everywhere.isEmpty() && 2 * totals().runs() < totals().slots();
        boolean possible = reason != Reason.MEMORY || fitsEmptyEngines(request);
        if (possible && now < request.deadline() && (idle || now + firstEventMillis <= request.latestFirstEventAt())) {
            return new Wait(reason, firstEventMillis, waitMillis);
        }
        return refuse(request, possible ? Reason.TOO_LATE : Reason.MEMORY, ahead, now);
    }

    Refuse refuse(QueuedGeneration request, Reason reason, WorkAhead ahead, long now) {
        double waitMillis = waitMillis(request, ahead.plus(elsewhere.ahead(request.priority())));
        double latestMillis = MAXIMUM_RETRY_SHARE * (request.deadline() - now);
        double delay = Math.min(latestMillis, waitMillis * (1 + RETRY_SPREAD * request.spread()));
        return new Refuse(
                reason, waitMillis + ownMillis(request), waitMillis, Math.max(MINIMUM_RETRY_MS, Math.round(delay)));
    }

    private boolean fitsEmptyEngines(QueuedGeneration request) {
        List<Candidate> empty = candidates.stream()
                .map(each -> new Candidate(
                        each.name(),
                        each.sameZone(),
                        each.slots(),
                        Workload.NONE,
                        each.selectionBias(),
                        each.slowdownFactor()))
                .toList();
        return place(request.demand(), empty).isPresent();
    }

    /**
     * Predicts the time until the work ahead of a request is done, in milliseconds. Strict requests wait for slots, others
     * for the prefill of the engines that are not kept for strict ones.
     *
     * @param request the request
     * @param ahead what waits and is expected to be sent before it
     */
    private double waitMillis(QueuedGeneration request, WorkAhead ahead) {
        if (request.isStrict(engine)) {
            double generationMillis =
                    engine.generationMillis((long) engine.meanPromptTokens(), (long) engine.meanOutputTokens());
            boolean freesSlots = totals().strictSlots() > 0;
            int slots = Math.max(1, freesSlots ? totals().strictSlots() : totals().slots());
            return (freesSlots ? 0 : totals().shortestBacklogMillis())
                    + generationMillis * (ahead.strictRequests() + 1) / slots;
        }
        return (totals().backlogMillis() + ahead.prefillMillis()) / relaxedEngines();
    }

    /**
     * Predicts the time to first token of a request once it is sent, in milliseconds.
     *
     * @param request the request
     */
    private double ownMillis(QueuedGeneration request) {
        double prefillMillis = engine.prefillMillis(request.demand().promptTokens());
        if (request.isStrict(engine)) {
            double passMillis = engine.decodePassMillis(engine.slots(), engine.slots() * engine.meanPromptTokens());
            return prefillMillis + STRICT_PASSES * passMillis + engine.prefillMillis((long) engine.meanPromptTokens());
        }
        double engines = Math.min(MAXIMUM_PREFILL_ENGINES, relaxedEngines());
        return prefillMillis / engines
                + engine.decodePassMillis(1, request.demand().promptTokens());
    }

    /**
     * Returns the time by which the first event of a waiting request would miss its latency objective, in milliseconds.
     *
     * @param request the request
     * @param now current time, in milliseconds
     * @return the slack, negative if the request is late already
     */
    double slackMillis(QueuedGeneration request, long now) {
        return request.wantedAt() - now - ownMillis(request);
    }

    private double relaxedEngines() {
        int engines = candidates.size();
        return Math.max(1, Math.max(engines * MINIMUM_RELAXED_SHARE, engines - totals().reserved()));
    }

    private Totals totals() {
        if (totals == null) {
            int runs = 0;
            int slots = 0;
            int strictSlots = 0;
            int strictRuns = 0;
            int strictEngines = 0;
            double backlogMillis = 0;
            double shortestBacklogMillis = Double.POSITIVE_INFINITY;
            for (Candidate candidate : candidates) {
                runs += candidate.load().runs();
                slots += candidate.slots();
                strictSlots += candidate.load().prefillMillis() <= LONG_BACKLOG_MILLIS ? candidate.slots() : 0;
                backlogMillis += candidate.load().prefillMillis();
                shortestBacklogMillis =
                        Math.min(shortestBacklogMillis, candidate.load().prefillMillis());
                strictRuns += candidate.load().strictRuns();
                strictEngines += candidate.load().strictRuns() > 0 ? 1 : 0;
            }
            double usualRuns = Math.max(1, FILL_SHARE * engine.slots());
            int needed = (int) Math.ceil(STRICT_HEADROOM * strictRuns / usualRuns);
            int reserved = Math.min(candidates.size(), Math.max(strictEngines, needed));
            totals = new Totals(runs, slots, strictSlots, backlogMillis, shortestBacklogMillis, reserved);
        }
        return totals;
    }
}
