package org.bamboohatch.gateway.load;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.stream.IntStream;

import org.bamboohatch.document.fleet.EngineCostModel;
import org.bamboohatch.gateway.load.SimulatedEngine.Generation;
import org.bamboohatch.kernel.id.TargetName;
import org.bamboohatch.routing.fleet.Candidate;
import org.bamboohatch.routing.fleet.Demand;
import org.bamboohatch.routing.fleet.Placement;
import org.bamboohatch.routing.fleet.PlacementPolicy;
import org.bamboohatch.routing.fleet.Workload;

/** Replays a workload on simulated engines, with gateways that learn of each other's placements with a delay. */
final class PlacementReplay {

    static final EngineCostModel ENGINE =
            new EngineCostModel(11, 315_000, 51, 0.85, 0.006, 0.00285, 177_000, 0.184, 2_048, 200, 0.05, 11_000, 1_600);

    /** Gateways and engines of a small fleet in one zone. */
    private static final int GATEWAYS = 6;

    /** Interval of load reports within a zone, and so the highest age of what a gateway knows of its neighbours. */
    private static final int REPORT_INTERVAL_MILLIS = 20;

    /** Interval of complete reports; the reports between them contain changes only. */
    private static final int COMPLETE_REPORT_INTERVAL_MILLIS = 1_000;

    private static final double MILLIS_PER_SECOND = 1_000;

    /** Interval between the arrivals of one burst. */
    private static final int BURST_INTERVAL_MILLIS = 40;

    /** Time after the last phase in which requests end. */
    private static final int DRAIN_MILLIS = 15_000;

    private final List<TargetName> names = new ArrayList<>();

    private final Map<TargetName, SimulatedEngine> engines = new LinkedHashMap<>();

    private final List<LoadTracker> loadTrackers = new ArrayList<>();

    /** Changes to report to gateways of the same zone, by gateway. */
    private final List<LoadTracker.PendingReport> nearReports = new ArrayList<>();

    /** Changes to report to gateways in other zones, by gateway. */
    private final List<LoadTracker.PendingReport> farReports = new ArrayList<>();

    private final Fleet fleet;

    /** Interval of reports to other zones, in milliseconds. */
    private final int farIntervalMillis;

    private final PlacementPolicy policy;

    private final EngineCostModel engine;

    /** The waiting requests, empty if each request is sent at once. */
    private final Optional<ReplayedQueues> queues;

    private final SplittableRandom random;

    private int refused;

    /** Arrivals per second of requests with short and with long prompts; long ones arrive in bursts of the given size. */
    record Load(double shortPerSecond, double longPerSecond, int burst) {

        Load(double shortPerSecond, double longPerSecond) {
            this(shortPerSecond, longPerSecond, 1);
        }
    }

    /** Arrivals for some time: a second each of short, medium and long prompts. */
    record Phase(int seconds, double shortPerSecond, double mediumPerSecond, double longPerSecond) {}

    /** Hosts, each of which belongs to one of the zones in turn. */
    record Fleet(int gateways, int engines, int zones) {

        boolean sameZone(int first, int second) {
            return first % zones == second % zones;
        }
    }

    /** Requests of a length class and how many of them met their targets; the last is a share of their prompt tokens. */
    record ClassOutcome(int requests, int inTime, double inTimeTokenShare) {

        double inTimeShare() {
            return requests == 0 ? 1 : (double) inTime / requests;
        }
    }

    /** Results of the length classes. */
    record Outcome(ClassOutcome shortRequests, ClassOutcome mediumRequests, ClassOutcome longRequests) {}

    PlacementReplay(PlacementPolicy policy, int engineCount, long seed) {
        this(policy, new Fleet(GATEWAYS, engineCount, 1), seed);
    }

    PlacementReplay(PlacementPolicy policy, Fleet fleet, long seed) {
        this(policy, fleet, ENGINE, 0, seed);
    }

    PlacementReplay(PlacementPolicy policy, Fleet fleet, EngineCostModel engine, int maximumWaiting, long seed) {
        this(policy, fleet, engine, Integer.MAX_VALUE, maximumWaiting, seed);
    }

    /** Creates a replay on engines that work on a limited number of generations each. */
    PlacementReplay(
            PlacementPolicy policy, Fleet fleet, EngineCostModel engine, int slots, int maximumWaiting, long seed) {
        this.policy = policy;
        this.engine = engine;
        this.queues = maximumWaiting == 0
                ? Optional.empty()
                : Optional.of(new ReplayedQueues(fleet.gateways(), maximumWaiting, engine));
        this.fleet = fleet;
        int farGateways = fleet.gateways() - fleet.gateways() / fleet.zones();
        long interval = ReportSchedule.farIntervalMillis(farGateways);
        this.farIntervalMillis = (int) Math.ceil((double) interval / REPORT_INTERVAL_MILLIS) * REPORT_INTERVAL_MILLIS;
        this.random = new SplittableRandom(seed);
        for (int number = 0; number < fleet.engines(); number++) {
            TargetName name = new TargetName("engine-" + number);
            names.add(name);
            engines.put(name, new SimulatedEngine(engine, slots));
        }
        for (int gateway = 0; gateway < fleet.gateways(); gateway++) {
            loadTrackers.add(new LoadTracker());
            nearReports.add(loadTrackers.get(gateway).newReport());
            farReports.add(loadTrackers.get(gateway).newReport());
        }
    }

    Outcome run(Load load, int seconds) {
        List<Generation> shortRequests = new ArrayList<>();
        List<Generation> longRequests = new ArrayList<>();
        int remainingInBurst = 0;
        for (int now = 0; now < seconds * MILLIS_PER_SECOND; now++) {
            if (random.nextDouble() < load.shortPerSecond() / MILLIS_PER_SECOND) {
                long tokens = Math.min(23_800, lognormal(4_960, 0.8));
                shortRequests.add(start(new Generation(now, tokens, 51 * 33, 300, 250), now));
            }
            if (random.nextDouble() < load.longPerSecond() / load.burst() / MILLIS_PER_SECOND) {
                remainingInBurst = load.burst();
            }
            if (remainingInBurst > 0 && now % BURST_INTERVAL_MILLIS == 0) {
                remainingInBurst--;
                long tokens = Math.min(700_000, lognormal(154_000, 0.55));
                longRequests.add(start(new Generation(now, tokens, 51 * 16, 3_000, 1_000), now));
            }
            advance(now);
        }
        // Requests of the last five seconds may not have ended.
        double countedUntil = seconds * MILLIS_PER_SECOND - 5_000;
        return new Outcome(
                classOutcome(shortRequests, countedUntil),
                classOutcome(List.of(), countedUntil),
                classOutcome(longRequests, countedUntil));
    }

    /** Replays phases with the demand of the first installation, one after another, and a calm end. */
    Outcome run(List<Phase> phases) {
        List<Generation> shortRequests = new ArrayList<>();
        List<Generation> mediumRequests = new ArrayList<>();
        List<Generation> longRequests = new ArrayList<>();
        int now = 0;
        for (Phase phase : phases) {
            for (int end = now + (int) (phase.seconds() * MILLIS_PER_SECOND); now < end; now++) {
                double arrival = random.nextDouble() * MILLIS_PER_SECOND;
                if (arrival < phase.shortPerSecond()) {
                    long tokens = Math.min(23_800, lognormal(4_960, 0.8));
                    shortRequests.add(start(new Generation(now, tokens, 38 * 33, 304, 250), now));
                } else if (arrival < phase.shortPerSecond() + phase.mediumPerSecond()) {
                    long tokens = Math.min(120_000, lognormal(45_000, 0.4));
                    mediumRequests.add(start(new Generation(now, tokens, 38 * 16, 1_506, 600), now));
                } else if (arrival < phase.shortPerSecond() + phase.mediumPerSecond() + phase.longPerSecond()) {
                    long tokens = Math.min(900_000, lognormal(260_000, 0.4));
                    longRequests.add(start(new Generation(now, tokens, 38 * 16, 4_010, 1_000), now));
                }
                advance(now);
            }
        }
        for (int end = now + DRAIN_MILLIS; now < end; now++) {
            advance(now);
        }
        return new Outcome(
                classOutcome(shortRequests, now), classOutcome(mediumRequests, now), classOutcome(longRequests, now));
    }

    private void advance(int now) {
        engines.values().forEach(each -> each.advance(now));
        if (now % REPORT_INTERVAL_MILLIS == 0) {
            exchangeReports(now);
        }
        queues.ifPresent(each -> each.examine(now, this::candidates, this::dispatch));
    }

    private static ClassOutcome classOutcome(List<Generation> generations, double countedUntil) {
        List<Generation> counted = generations.stream()
                .filter(each -> each.arrivedAt < countedUntil)
                .toList();
        List<Generation> inTime =
                counted.stream().filter(Generation::meetsTargets).toList();
        return new ClassOutcome(counted.size(), inTime.size(), tokens(inTime) / Math.max(1, tokens(counted)));
    }

    private static double tokens(List<Generation> generations) {
        return generations.stream().mapToDouble(each -> each.promptTokens).sum();
    }

    private long lognormal(double mean, double deviation) {
        return Math.max(
                200, Math.round(mean * Math.exp(deviation * random.nextGaussian() - deviation * deviation / 2)));
    }

    private Generation start(Generation generation, int now) {
        int gateway = random.nextInt(fleet.gateways());
        if (queues.isPresent()) {
            queues.get().add(gateway, generation, now, this::candidates, this::dispatch);
            return generation;
        }
        Optional<Placement> placement =
                policy.place(ReplayedQueues.demand(generation), candidates(gateway, now), Optional.of(engine));
        if (placement.isEmpty()) {
            refused++;
            return generation;
        }
        dispatch(gateway, generation, placement.get(), now);
        return generation;
    }

    private List<Candidate> candidates(int gateway, int now) {
        LoadTracker loadTracker = loadTrackers.get(gateway);
        return IntStream.range(0, names.size())
                .mapToObj(number -> new Candidate(
                        names.get(number),
                        fleet.sameZone(gateway, number),
                        engine.slots(),
                        loadTracker.load(names.get(number), now),
                        selectionBias(gateway, names.get(number)),
                        1))
                .toList();
    }

    private void dispatch(int gateway, Generation generation, Placement placement, int now) {
        LoadTracker loadTracker = loadTrackers.get(gateway);
        Demand demand = ReplayedQueues.demand(generation);
        int engineCount = placement.prefillHelpers().size() + 1;
        double prefillMillis = engine.prefillMillis(generation.promptTokens) / engineCount;
        List<LoadTracker.TrackedRequest> tracked = new ArrayList<>();
        tracked.add(loadTracker.add(
                placement.target(),
                generation.promptTokens,
                placement.targetMemoryTokens(demand),
                demand.hasStrictInterTokenLatency(),
                true,
                prefillMillis,
                now));
        for (int helper = 0; helper < engineCount - 1; helper++) {
            List<Placement.Allocation> allocations = placement.allocations();
            long reservedTokens =
                    helper < allocations.size() ? allocations.get(helper).tokens() : 0;
            TargetName name = placement.prefillHelpers().get(helper);
            tracked.add(loadTracker.add(
                    name, generation.promptTokens / engineCount, reservedTokens, false, false, prefillMillis, now));
        }
        generation.onFirstEvent = () -> tracked.forEach(LoadTracker.TrackedRequest::beginDecoding);
        generation.onEnd = () -> tracked.forEach(LoadTracker.TrackedRequest::end);
        SimulatedEngine.send(
                generation,
                engines.get(placement.target()),
                placement.prefillHelpers().stream().map(engines::get).toList());
    }

    private static double selectionBias(int gateway, TargetName name) {
        return new SplittableRandom(31L * gateway + name.hashCode()).nextDouble();
    }

    private void exchangeReports(int now) {
        boolean complete = now % COMPLETE_REPORT_INTERVAL_MILLIS == 0;
        boolean farDue = now % farIntervalMillis == 0;
        for (int from = 0; from < fleet.gateways(); from++) {
            Map<TargetName, Workload> near = takeReport(nearReports.get(from), complete);
            Map<TargetName, Workload> far = farDue ? takeReport(farReports.get(from), complete) : Map.of();
            GatewayLoad.WaitingState nearWaiting = takeWaiting(from, true, complete, now);
            GatewayLoad.WaitingState farWaiting = farDue ? takeWaiting(from, false, complete, now) : null;
            for (int to = 0; to < fleet.gateways(); to++) {
                if (to != from) {
                    loadTrackers.get(to).applyReport("gateway-" + from, fleet.sameZone(from, to) ? near : far, now);
                    if (queues.isPresent()) {
                        queues.get().applyReport(from, to, fleet.sameZone(from, to) ? nearWaiting : farWaiting, now);
                    }
                }
            }
        }
    }

    private GatewayLoad.WaitingState takeWaiting(int gateway, boolean near, boolean complete, int now) {
        return queues.map(each -> each.takeReport(gateway, near, complete, now)).orElse(null);
    }

    private static Map<TargetName, Workload> takeReport(LoadTracker.PendingReport report, boolean complete) {
        return complete ? report.takeAll() : report.takeChanges();
    }

    int refused() {
        return refused + queues.map(ReplayedQueues::refused).orElse(0);
    }
}
