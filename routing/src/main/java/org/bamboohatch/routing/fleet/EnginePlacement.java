package org.bamboohatch.routing.fleet;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;

import org.bamboohatch.document.fleet.EngineCostModel;
import org.bamboohatch.kernel.id.TargetName;

/**
 * Places a generation using the cost model of its engines. The prefill of a long prompt lengthens the passes of an
 * engine and delays every stream that the engine decodes by as much. Requests with a strict limit on the inter-token
 * latency are therefore packed onto some engines, which are filled one after another, and long prompts are divided into
 * parts that several of the other engines prefill.
 *
 * <p>Costs are in milliseconds of a later first token, unless stated otherwise.
 */
final class EnginePlacement {

    /** Share of an engine's slots up to which it is filled before the next engine is used. */
    private static final double FILL_SHARE = 0.75;

    /** Cost reduction of an engine that has strict runs already. */
    private static final double FILL_BONUS_MILLIS = 60;

    /** Cost of an engine without free slots. */
    private static final double FULL_PENALTY_MILLIS = 1_500;

    /** Cost of each delayed stream with a strict inter-token latency limit. */
    private static final double STRICT_DELAY_MILLIS = 900;

    /** Cost of each delayed stream with a relaxed inter-token latency limit. */
    private static final double RELAXED_DELAY_MILLIS = 2_500;

    /** Duration of a pass above which streams with a strict limit are delayed, in milliseconds. */
    private static final double STRICT_PASS_MILLIS = 210;

    /** Duration of a pass above which streams with a relaxed limit are delayed, in milliseconds. */
    private static final double RELAXED_PASS_MILLIS = 350;

    /** Cost of an engine in another availability zone: the latency, and load reports that are older. */
    private static final double CROSS_ZONE_MILLIS = 60;

    /** Weight of the selection bias, which keeps gateways that decide concurrently from selecting the same engine. */
    private static final double BIAS_MILLIS = 80;

    /** Maximum number of engines that prefill one prompt, including the responding one. */
    private static final int MAX_PREFILL_ENGINES = 17;

    /** Prefill time of a part up to which streams with a relaxed limit are not delayed, in milliseconds. */
    private static final double PART_MILLIS = 300;

    /** Share of the target latency that is planned for; the rest is a margin for unforeseen delays. */
    private static final double PLANNED_LATENCY_SHARE = 0.5;

    /** Weight of the whole time to first token; prefers an earlier one even if all are on time. */
    private static final double FIRST_TOKEN_WEIGHT = 0.2;

    /**
     * Weight of the time beyond the target latency. Low, because further engines would gain little for a late request
     * and would not be free for other requests.
     */
    private static final double MISSED_TARGET_WEIGHT = 0.3;

    /** Weight of the time between the planned and the target latency. */
    private static final double MISSED_PLAN_WEIGHT = 4;

    /** Share of the maximum inter-token latency that the prefill in a pass may use without cost. */
    private static final double FREE_PREFILL_SHARE = 0.6;

    /** Share of an engine's memory that a part of a prompt may occupy. Large parts slow down each step. */
    private static final double ALLOCATION_SHARE = 0.5;

    /** Maximum number of engines that hold one prompt. Each must reserve its memory before the prompt is sent. */
    private static final int MAX_ALLOCATION_ENGINES = 8;

    /** Prefill backlog above which an engine counts as busy with another prompt, in milliseconds. */
    private static final double BUSY_MILLIS = 10;

    /** Weight of the time for which a part blocks another prompt, as an engine prefills the newest part first. */
    private static final double BLOCKING_WEIGHT = 4;

    /** Cost of each prefilling engine, as each may fail and delay the others. */
    private static final double PREFILL_ENGINE_MILLIS = 8;

    private final EngineCostModel engine;

    private final Demand demand;

    /** Time that one engine needs to prefill the whole prompt, in milliseconds. */
    private final double prefillMillis;

    /**
     * Creates the placement of one request.
     *
     * @param engine cost model of the engines
     * @param demand requirements of the request
     */
    EnginePlacement(EngineCostModel engine, Demand demand) {
        this.engine = engine;
        this.demand = demand;
        this.prefillMillis = engine.prefillMillis(demand.promptTokens());
    }

    /** A candidate for the prefill of a part of the prompt. */
    private final class PrefillEngine {

        private final Candidate candidate;

        /** Time until the engine begins to prefill the part, in milliseconds. */
        private final double waitMillis;

        /** Duration of a pass that includes the whole prefill backlog, in milliseconds. */
        private final double passMillis;

        /** Whether the engine prefills a part of another prompt. */
        private final boolean busy;

        /** Cost of prefilling a part of usual size on this engine. */
        private final double cost;

        PrefillEngine(Candidate candidate) {
            Workload load = candidate.load();
            double decodePass = EnginePlacement.this.decodePassMillis(load);
            this.candidate = candidate;
            this.busy = load.prefillMillis() > BUSY_MILLIS;
            this.waitMillis = candidate.slowdownFactor() * (load.prefillMillis() + decodePass / 2);
            this.passMillis = candidate.slowdownFactor() * (load.prefillMillis() + decodePass);
            double usualPart = Math.min(prefillMillis, PART_MILLIS);
            this.cost = waitMillis
                    + delayCost(usualPart)
                    + (busy ? BLOCKING_WEIGHT * usualPart : 0)
                    + preferenceCost(candidate);
        }

        /**
         * Returns the cost of delaying the streams of the engine if it prefills a part.
         *
         * @param partMillis prefill time of the part, in milliseconds
         */
        double delayCost(double partMillis) {
            double longestPass = passMillis + candidate.slowdownFactor() * partMillis;
            int strictRuns = candidate.load().strictRuns();
            int relaxedRuns = candidate.load().runs() - strictRuns;
            return (longestPass > STRICT_PASS_MILLIS ? strictRuns * STRICT_DELAY_MILLIS : 0)
                    + (longestPass > RELAXED_PASS_MILLIS ? relaxedRuns * RELAXED_DELAY_MILLIS : 0);
        }
    }

    /**
     * Selects the engines of the request.
     *
     * @param candidates engines that may be selected
     * @return the placement, empty if the engines do not have enough memory for the request
     */
    Optional<Placement> place(List<Candidate> candidates) {
        List<Candidate> fitting = candidates.stream().filter(this::hasMemory).toList();
        if (fitting.isEmpty()) {
            return usesSingleEngine() ? Optional.empty() : placeDivided(candidates);
        }
        return usesSingleEngine() ? placeOnSingleEngine(fitting) : placeUndivided(fitting, candidates);
    }

    /** Indicates whether one engine prefills and decodes the request: its prompt is small and its limit strict. */
    private boolean usesSingleEngine() {
        return demand.hasStrictInterTokenLatency() && prefillMillis < PART_MILLIS;
    }

    private boolean hasMemory(Candidate candidate) {
        return hasMemory(candidate, demand.memoryTokens());
    }

    /**
     * Indicates whether an engine has a number of tokens free, as far as its load is known.
     *
     * @param candidate the engine
     * @param tokens number of tokens
     */
    private boolean hasMemory(Candidate candidate, double tokens) {
        return candidate.load().reservedTokens() + tokens <= engine.memoryTokens();
    }

    /**
     * Places a prompt that does not fit into the free memory of any engine. The smallest sufficient number of engines
     * hold equal parts of it.
     *
     * @param candidates engines that may be selected
     * @return the placement, empty if too few engines have memory for a part
     */
    private Optional<Placement> placeDivided(List<Candidate> candidates) {
        double maximumPartTokens = ALLOCATION_SHARE * engine.memoryTokens();
        int fewest = Math.max(2, (int) Math.ceil(demand.memoryTokens() / maximumPartTokens));
        for (int engines = fewest; engines <= MAX_ALLOCATION_ENGINES; engines++) {
            long partTokens = (demand.memoryTokens() + engines - 1) / engines;
            List<Candidate> selected = candidates.stream()
                    .filter(candidate -> hasMemory(candidate, partTokens))
                    .sorted(Comparator.comparingDouble(this::decodeCost).thenComparing(Candidate::name))
                    .limit(engines)
                    .toList();
            if (selected.size() == engines) {
                List<Placement.Allocation> allocations = selected.stream()
                        .skip(1)
                        .map(candidate -> new Placement.Allocation(candidate.name(), partTokens))
                        .toList();
                return Optional.of(addPrefillEngines(selected, allocations, candidates));
            }
        }
        return Optional.empty();
    }

    /**
     * Places a small request with a strict limit on the engine with the lowest cost.
     *
     * @param candidates engines with enough memory for the request
     */
    private Optional<Placement> placeOnSingleEngine(List<Candidate> candidates) {
        return candidates.stream()
                .min(Comparator.comparingDouble(this::singleEngineCost).thenComparing(Candidate::name))
                .map(candidate -> Placement.onSingleTarget(candidate.name(), timeToFirstTokenMillis(candidate)));
    }

    /**
     * Returns the cost that depends on the gateway rather than on the work at an engine: its zone and its bias.
     *
     * @param candidate the engine
     */
    private static double preferenceCost(Candidate candidate) {
        return candidate.selectionBias() * BIAS_MILLIS + (candidate.sameZone() ? 0 : CROSS_ZONE_MILLIS);
    }

    /**
     * Predicts the time to first token if one engine prefills the whole prompt, in milliseconds.
     *
     * @param candidate the engine
     */
    private double timeToFirstTokenMillis(Candidate candidate) {
        Workload load = candidate.load();
        double decodePass = decodePassMillis(load);
        return candidate.slowdownFactor() * (decodePass / 2 + load.prefillMillis() + prefillMillis + decodePass);
    }

    /**
     * Predicts the duration of a pass without prefill, in milliseconds, as if all runs were decoding.
     *
     * @param load current work at the engine
     */
    private double decodePassMillis(Workload load) {
        return engine.decodePassMillis(load.runs(), load.contextTokens());
    }

    /**
     * Returns the cost of prefilling and decoding a small request with a strict limit on an engine.
     *
     * @param candidate the engine
     */
    private double singleEngineCost(Candidate candidate) {
        Workload load = candidate.load();
        double cost = timeToFirstTokenMillis(candidate) + preferenceCost(candidate);
        double filledSlots = candidate.slots() * FILL_SHARE;
        if (load.runs() >= candidate.slots()) {
            cost += FULL_PENALTY_MILLIS * (1 + load.runs() - candidate.slots());
        } else if (load.strictRuns() > 0 && load.runs() < filledSlots) {
            cost -= FILL_BONUS_MILLIS;
        }
        int relaxedRuns = load.runs() - load.strictRuns();
        double longestPass =
                candidate.slowdownFactor() * (decodePassMillis(load) + load.prefillMillis() + prefillMillis);
        double delay = Math.max(0, longestPass - FREE_PREFILL_SHARE * demand.maximumInterTokenMillis())
                * (1 + load.strictRuns());
        return cost + delay + (relaxedRuns > 0 ? STRICT_DELAY_MILLIS / 2 : 0);
    }

    /**
     * Places a prompt on the engine with the lowest decode cost, which holds all of it, and adds engines for the
     * prefill.
     *
     * @param fitting engines with enough memory for the request
     * @param candidates all engines
     * @return the placement with the lowest cost
     */
    private Optional<Placement> placeUndivided(List<Candidate> fitting, List<Candidate> candidates) {
        Candidate target = fitting.stream()
                .min(Comparator.comparingDouble(this::decodeCost).thenComparing(Candidate::name))
                .orElseThrow();
        return Optional.of(addPrefillEngines(List.of(target), List.of(), candidates));
    }

    /**
     * Selects how many further engines take part in the prefill.
     *
     * @param required engines that take part in any case, the responding one first
     * @param allocations memory to reserve at the other required engines
     * @param candidates all engines
     * @return the placement with the lowest cost
     */
    private Placement addPrefillEngines(
            List<Candidate> required, List<Placement.Allocation> allocations, List<Candidate> candidates) {
        Candidate target = required.get(0);
        List<PrefillEngine> engines =
                new ArrayList<>(required.stream().map(PrefillEngine::new).toList());
        candidates.stream()
                .filter(candidate -> !required.contains(candidate))
                .map(PrefillEngine::new)
                .sorted(Comparator.comparingDouble((PrefillEngine prefillEngine) -> prefillEngine.cost)
                        .thenComparing(prefillEngine -> prefillEngine.candidate.name()))
                .forEach(engines::add);
        double lowestCost = Double.MAX_VALUE;
        double bestFirstTokenMillis = 0;
        int bestCount = 0;
        double longestWaitMillis = 0;
        for (int count = 1; count <= Math.min(MAX_PREFILL_ENGINES, engines.size()); count++) {
            longestWaitMillis = Math.max(longestWaitMillis, engines.get(count - 1).waitMillis);
            if (count < required.size()) {
                continue;
            }
            double partMillis = prefillMillis / count;
            double firstTokenMillis = longestWaitMillis + partMillis + decodePassMillis(target.load());
            double cost = prefillCost(firstTokenMillis, partMillis, engines.subList(0, count));
            if (cost < lowestCost) {
                lowestCost = cost;
                bestFirstTokenMillis = firstTokenMillis;
                bestCount = count;
            }
        }
        List<TargetName> prefillHelpers = engines.subList(1, bestCount).stream()
                .map(prefillEngine -> prefillEngine.candidate.name())
                .toList();
        return new Placement(target.name(), prefillHelpers, allocations, bestFirstTokenMillis);
    }

    /**
     * Returns the cost of a set of prefilling engines.
     *
     * @param firstTokenMillis predicted time to first token, in milliseconds
     * @param partMillis prefill time of each part, in milliseconds
     * @param engines the prefilling engines
     */
    private double prefillCost(double firstTokenMillis, double partMillis, List<PrefillEngine> engines) {
        double targetMillis = demand.targetLatencyMillis();
        double beyondPlan =
                Math.max(0, Math.min(firstTokenMillis, targetMillis) - targetMillis * PLANNED_LATENCY_SHARE);
        double beyondTarget = Math.max(0, firstTokenMillis - targetMillis);
        double delayCost = engines.stream()
                .mapToDouble(prefillEngine -> prefillEngine.delayCost(partMillis))
                .sum();
        boolean blocksOthers = engines.stream().anyMatch(prefillEngine -> prefillEngine.busy);
        return firstTokenMillis * FIRST_TOKEN_WEIGHT
                + beyondPlan * MISSED_PLAN_WEIGHT
                + beyondTarget * MISSED_TARGET_WEIGHT
                + delayCost
                + (blocksOthers ? BLOCKING_WEIGHT * partMillis : 0)
                + engines.size() * PREFILL_ENGINE_MILLIS
                + Math.max(0, partMillis - PART_MILLIS);
    }

    /**
     * Returns the cost of decoding the output of a long prompt on an engine.
     *
     * @param candidate the engine
     */
    private double decodeCost(Candidate candidate) {
        Workload load = candidate.load();
        double occupiedMemory = load.reservedTokens() / engine.memoryTokens();
        double fullCost = load.runs() >= candidate.slots() ? FULL_PENALTY_MILLIS : 0;
        double delayCost =
                load.prefillMillis() > FREE_PREFILL_SHARE * demand.maximumInterTokenMillis() ? RELAXED_DELAY_MILLIS : 0;
        return new PrefillEngine(candidate).cost + occupiedMemory * STRICT_DELAY_MILLIS + fullCost + delayCost;
    }
}
