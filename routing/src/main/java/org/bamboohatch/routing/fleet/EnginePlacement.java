package org.bamboohatch.routing.fleet;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;

import org.bamboohatch.document.fleet.EngineCostModel;
import org.bamboohatch.kernel.id.TargetName;

/**
 * Places a generation by the cost model of its engines. An engine that reads a long prompt makes long passes, and every
 * stream that it writes pauses for as long. So requests whose pauses must be short share some engines, which fill up
 * one after the other, and long prompts are read in parts by several of the others.
 */
final class EnginePlacement {

    /** Part of an engine's slots up to which it is filled before the next one is used. */
    private static final double FILL_SHARE = 0.75;

    /** Advantage of an engine that has tight streams already, in milliseconds of a later first event. */
    private static final double FILL_BONUS_MILLIS = 60;

    /** Disadvantage of an engine all of whose slots are taken, in milliseconds. */
    private static final double FULL_PENALTY_MILLIS = 1_500;

    /** Harm to each stream that pauses for too long, in milliseconds of a later first event. */
    private static final double DISTURBED_MILLIS = 900;

    /** Harm to each stream with longer pauses that pauses for too long even so, in milliseconds of a later first event. */
    private static final double DISTURBED_LONG_MILLIS = 2_500;

    /** Pass above which streams with short pauses are disturbed, in milliseconds. */
    private static final double TIGHT_PAUSE_MILLIS = 210;

    /** Pass above which streams with longer pauses are disturbed, in milliseconds. */
    private static final double PATIENT_PAUSE_MILLIS = 350;

    /** Weight of a gateway's selectionBias, in milliseconds: gateways that decide at once do not herd. */
    private static final double SPREAD_MILLIS = 80;

    /** Engines that read one prompt at most, the answering one included. */
    private static final int MAX_READERS = 17;

    /** Time up to which one engine reads a part, in milliseconds: streams with longer pauses are not disturbed then. */
    private static final double PART_MILLIS = 300;

    /** Part of the target latency that is planned for; the rest covers what is not foreseen. */
    private static final double TIMELY_SHARE = 0.5;

    /** Weight of a first event that is in time, but later than another one would be. */
    private static final double EARLY_WEIGHT = 0.2;

    /** Weight of a first event that is late anyway: more engines would be taken from others for little. */
    private static final double LOST_WEIGHT = 0.3;

    /** Weight of a first event that is later than planned for. */
    private static final double LATE_WEIGHT = 4;

    /** Part of the longest timely pause that the reading of a pass may fill without harm. */
    private static final double CALM_SHARE = 0.6;

    /** Part of an engine's memory up to which it holds a part of a prompt: large parts slow down each step. */
    private static final double HOLDING_SHARE = 0.5;

    /** Engines that hold parts of one prompt at most; each one must set memory aside before the prompt is sent. */
    private static final int MAX_HOLDERS = 8;

    /** Reading that waits at an engine above which it counts as busy with another prompt, in milliseconds. */
    private static final double BUSY_MILLIS = 10;

    /** Weight of the time for which a part holds up another prompt: an engine reads the newest part first. */
    private static final double HOLD_UP_WEIGHT = 4;

    /** Cost of each further reader, in milliseconds: each one may fail and hold up the others. */
    private static final double READER_MILLIS = 8;

    /** What the work costs. */
    private final EngineCostModel engine;

    /** What the request asks. */
    private final Demand demand;

    /** Time to read the whole prompt, in milliseconds. */
    private final double prefillMillis;

    /**
     * Creates a placement.
     *
     * @param engine what the work costs
     * @param demand what the request asks
     */
    EnginePlacement(EngineCostModel engine, Demand demand) {
        this.engine = engine;
        this.demand = demand;
        this.prefillMillis = engine.prefillMillis(demand.promptTokens());
    }

    /** An engine as a reader of a part. */
    private final class Reader {

        /** The engine. */
        private final Candidate candidate;

        /** Time until it begins to read, in milliseconds. */
        private final double waitMillis;

        /** Time of a pass that reads what waits at the engine, in milliseconds. */
        private final double passMillis;

        /** Whether the engine reads a part of another prompt. */
        private final boolean busy;

        /** What speaks against the engine if it reads a part of usual size, in milliseconds. */
        private final double cost;

        /**
         * Looks at an engine.
         *
         * @param candidate the engine
         */
        Reader(Candidate candidate) {
            Workload load = candidate.load();
            double idlePass = EnginePlacement.this.passMillis(load);
            this.candidate = candidate;
            this.busy = load.prefillMillis() > BUSY_MILLIS;
            this.waitMillis = candidate.slowdownFactor() * (load.prefillMillis() + idlePass / 2);
            this.passMillis = candidate.slowdownFactor() * (load.prefillMillis() + idlePass);
            double usualPart = Math.min(prefillMillis, PART_MILLIS);
            this.cost = waitMillis
                    + harm(usualPart)
                    + (busy ? HOLD_UP_WEIGHT * usualPart : 0)
                    + candidate.selectionBias() * SPREAD_MILLIS;
        }

        /**
         * Tells how much the streams that the engine writes suffer if it reads a part.
         *
         * @param partMillis time to read the part, in milliseconds
         * @return the harm in milliseconds of a later first event
         */
        double harm(double partMillis) {
            double pause = passMillis + candidate.slowdownFactor() * partMillis;
            int tight = candidate.load().strictRuns();
            int patient = candidate.load().runs() - tight;
            return (pause > TIGHT_PAUSE_MILLIS ? tight * DISTURBED_MILLIS : 0)
                    + (pause > PATIENT_PAUSE_MILLIS ? patient * DISTURBED_LONG_MILLIS : 0);
        }
    }

    /**
     * Chooses the engines.
     *
     * @param candidates the engines that may be chosen
     * @return the choice, empty if no engine has memory for the request
     */
    Optional<Placement> place(List<Candidate> candidates) {
        List<Candidate> fitting = candidates.stream().filter(this::hasMemory).toList();
        if (fitting.isEmpty()) {
            return isShort() ? Optional.empty() : divided(candidates);
        }
        return isShort() ? alone(fitting) : whole(fitting, candidates);
    }

    /**
     * Tells whether one engine reads and writes the request.
     *
     * @return whether the prompt is small and the pauses of its answer must be short
     */
    private boolean isShort() {
        return demand.hasStrictInterTokenLatency() && prefillMillis < PART_MILLIS;
    }

    /**
     * Tells whether an engine has memory for the request.
     *
     * @param candidate the engine
     * @return whether it has, as far as is known
     */
    private boolean hasMemory(Candidate candidate) {
        return hasMemory(candidate, demand.memoryTokens());
    }

    /**
     * Tells whether an engine has memory.
     *
     * @param candidate the engine
     * @param tokens memory that is needed, in tokens
     * @return whether it has, as far as is known
     */
    private boolean hasMemory(Candidate candidate, double tokens) {
        return candidate.load().reservedTokens() + tokens <= engine.memoryTokens();
    }

    /**
     * Places a prompt that no engine has memory for at several engines, each of which holds an even part of it.
     *
     * @param candidates the engines
     * @return the choice, empty if too few engines have memory for a part
     */
    private Optional<Placement> divided(List<Candidate> candidates) {
        double usual = HOLDING_SHARE * engine.memoryTokens();
        int fewest = Math.max(2, (int) Math.ceil(demand.memoryTokens() / usual));
        for (int holders = fewest; holders <= MAX_HOLDERS; holders++) {
            long share = (demand.memoryTokens() + holders - 1) / holders;
            List<Candidate> able = candidates.stream()
                    .filter(candidate -> hasMemory(candidate, share))
                    .sorted(Comparator.comparingDouble(this::writerCost).thenComparing(Candidate::name))
                    .limit(holders)
                    .toList();
            if (able.size() == holders) {
                List<Placement.Allocation> allocations = able.stream()
                        .skip(1)
                        .map(holder -> new Placement.Allocation(holder.name(), share))
                        .toList();
                return Optional.of(together(able, allocations, candidates));
            }
        }
        return Optional.empty();
    }

    /**
     * Places a short prompt at one engine.
     *
     * @param candidates the engines
     * @return the choice
     */
    private Optional<Placement> alone(List<Candidate> candidates) {
        return candidates.stream()
                .min(Comparator.comparingDouble(this::aloneCost).thenComparing(Candidate::name))
                .map(candidate -> Placement.onSingleTarget(candidate.name(), timeToFirstTokenMillis(candidate)));
    }

    /**
     * Predicts the time until the first event at one engine.
     *
     * @param candidate the engine
     * @return the time in milliseconds
     */
    private double timeToFirstTokenMillis(Candidate candidate) {
        Workload load = candidate.load();
        double pass = passMillis(load);
        return candidate.slowdownFactor() * (pass / 2 + load.prefillMillis() + prefillMillis + pass);
    }

    /**
     * Predicts the time of a pass at an engine.
     *
     * @param load its work
     * @return the time in milliseconds
     */
    private double passMillis(Workload load) {
        return engine.decodePassMillis(load.runs(), load.contextTokens());
    }

    /**
     * Returns what speaks against one engine for a short prompt.
     *
     * @param candidate the engine
     * @return the cost in milliseconds
     */
    private double aloneCost(Candidate candidate) {
        Workload load = candidate.load();
        double cost = timeToFirstTokenMillis(candidate) + candidate.selectionBias() * SPREAD_MILLIS;
        double fill = candidate.slots() * FILL_SHARE;
        if (load.runs() >= candidate.slots()) {
            cost += FULL_PENALTY_MILLIS * (1 + load.runs() - candidate.slots());
        } else if (load.strictRuns() > 0 && load.runs() < fill) {
            cost -= FILL_BONUS_MILLIS;
        }
        int longWriters = load.runs() - load.strictRuns();
        double pause = candidate.slowdownFactor() * (passMillis(load) + load.prefillMillis() + prefillMillis);
        double disturbed = Math.max(0, pause - CALM_SHARE * demand.maximumInterTokenMillis()) * (1 + load.strictRuns());
        return cost + disturbed + (longWriters > 0 ? DISTURBED_MILLIS / 2 : 0);
    }

    /**
     * Places a long prompt at one engine that holds all of it, and chooses those that help to read it.
     *
     * @param fitting engines that have memory for the request
     * @param candidates all engines
     * @return the choice with the least cost
     */
    private Optional<Placement> whole(List<Candidate> fitting, List<Candidate> candidates) {
        Candidate first = fitting.stream()
                .min(Comparator.comparingDouble(this::writerCost).thenComparing(Candidate::name))
                .orElseThrow();
        return Optional.of(together(List.of(first), List.of(), candidates));
    }

    /**
     * Chooses the engines that help to read a long prompt.
     *
     * @param given engines that read it in any case, the answering one first
     * @param allocations memory that is set aside at the others among them
     * @param candidates all engines
     * @return the choice with the least cost
     */
    private Placement together(
            List<Candidate> given, List<Placement.Allocation> allocations, List<Candidate> candidates) {
        Candidate first = given.get(0);
        List<Reader> readers = new ArrayList<>(given.stream().map(Reader::new).toList());
        candidates.stream()
                .filter(candidate -> !given.contains(candidate))
                .map(Reader::new)
                .sorted(Comparator.comparingDouble((Reader reader) -> reader.cost)
                        .thenComparing(reader -> reader.candidate.name()))
                .forEach(readers::add);
        double bestCost = Double.MAX_VALUE;
        double bestFirst = 0;
        int best = 0;
        double latest = 0;
        for (int count = 1; count <= Math.min(MAX_READERS, readers.size()); count++) {
            latest = Math.max(latest, readers.get(count - 1).waitMillis);
            if (count < given.size()) {
                continue;
            }
            double part = prefillMillis / count;
            double firstEvent = latest + part + passMillis(first.load());
            double cost = cost(firstEvent, part, readers.subList(0, count));
            if (cost < bestCost) {
                bestCost = cost;
                bestFirst = firstEvent;
                best = count;
            }
        }
        List<TargetName> prefillHelpers = readers.subList(1, best).stream()
                .map(reader -> reader.candidate.name())
                .toList();
        return new Placement(first.name(), prefillHelpers, allocations, bestFirst);
    }

    /**
     * Weighs a choice of readers.
     *
     * @param firstEvent predicted time until the first event, in milliseconds
     * @param part time that each reader reads, in milliseconds
     * @param readers the readers
     * @return what speaks against the choice
     */
    private double cost(double firstEvent, double part, List<Reader> readers) {
        double target = demand.targetLatencyMillis();
        double lateness = Math.max(0, Math.min(firstEvent, target) - target * TIMELY_SHARE);
        double lost = Math.max(0, firstEvent - target);
        double harm = readers.stream().mapToDouble(reader -> reader.harm(part)).sum();
        boolean holdsUp = readers.stream().anyMatch(reader -> reader.busy);
        return firstEvent * EARLY_WEIGHT
                + lateness * LATE_WEIGHT
                + lost * LOST_WEIGHT
                + harm
                + (holdsUp ? HOLD_UP_WEIGHT * part : 0)
                + readers.size() * READER_MILLIS
                + Math.max(0, part - PART_MILLIS);
    }

    /**
     * Returns what speaks against an engine that is to write the answer of a long prompt.
     *
     * @param candidate the engine
     * @return the cost in milliseconds
     */
    private double writerCost(Candidate candidate) {
        Workload load = candidate.load();
        double memory = load.reservedTokens() / engine.memoryTokens();
        double full = load.runs() >= candidate.slots() ? FULL_PENALTY_MILLIS : 0;
        double paused =
                load.prefillMillis() > CALM_SHARE * demand.maximumInterTokenMillis() ? DISTURBED_LONG_MILLIS : 0;
        return new Reader(candidate).cost + memory * DISTURBED_MILLIS + full + paused;
    }
}
