package org.bamboohatch.gateway.load;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;

import org.bamboohatch.document.fleet.EngineCostModel;
import org.bamboohatch.gateway.load.SimulatedEngine.Generation;
import org.bamboohatch.kernel.id.TargetName;
import org.bamboohatch.routing.fleet.Candidate;
import org.bamboohatch.routing.fleet.Demand;
import org.bamboohatch.routing.fleet.Placement;
import org.bamboohatch.routing.fleet.PlacementPolicy;

/** Replays a load on emulated engines with gateways that know of each other's choices a little later. */
final class PlacementReplay {

    static final EngineCostModel ENGINE =
            new EngineCostModel(11, 315_000, 51, 0.85, 0.006, 0.00285, 177_000, 0.184, 2_048, 200, 0.05, 11_000, 1_600);

    private static final int GATEWAYS = 6;

    /** Age of what a gateway knows of the others, in milliseconds. */
    private static final int REPORT_MILLIS = 20;

    /** Interval of reports of all work rather than of what changed, in milliseconds. */
    private static final int WHOLE_REPORT_MILLIS = 1_000;

    private static final double MILLIS_PER_SECOND = 1_000;

    /** Interval of arrivals that come together, in milliseconds. */
    private static final int CLUMP_MILLIS = 40;

    private final List<TargetName> names = new ArrayList<>();

    private final Map<TargetName, SimulatedEngine> engines = new LinkedHashMap<>();

    private final List<LoadTracker> books = new ArrayList<>();

    private final PlacementPolicy policy;

    private final SplittableRandom random;

    private int refused;

    /** Arrivals a second of short requests and of reviews, which come so many at a time. */
    record Load(double shortPerSecond, double reviewsPerSecond, int clump) {

        Load(double shortPerSecond, double reviewsPerSecond) {
            this(shortPerSecond, reviewsPerSecond, 1);
        }
    }

    /** How the requests of a class fared; the tokens are a share of all prompt tokens. */
    record Served(int requests, int timely, double timelyTokens) {

        double timelyShare() {
            return requests == 0 ? 1 : (double) timely / requests;
        }
    }

    /** How both classes fared. */
    record Outcome(Served shortRequests, Served reviews) {}

    PlacementReplay(PlacementPolicy policy, int engineCount, long seed) {
        this.policy = policy;
        this.random = new SplittableRandom(seed);
        for (int number = 0; number < engineCount; number++) {
            TargetName name = new TargetName("engine-" + number);
            names.add(name);
            engines.put(name, new SimulatedEngine(ENGINE));
        }
        for (int gateway = 0; gateway < GATEWAYS; gateway++) {
            books.add(new LoadTracker());
        }
    }

    Outcome run(Load load, int seconds) {
        List<Generation> shorts = new ArrayList<>();
        List<Generation> reviews = new ArrayList<>();
        int waiting = 0;
        for (int now = 0; now < seconds * MILLIS_PER_SECOND; now++) {
            if (random.nextDouble() < load.shortPerSecond() / MILLIS_PER_SECOND) {
                long tokens = Math.min(23_800, lognormal(4_960, 0.8));
                shorts.add(begin(new Generation(now, tokens, 51 * 33, 300, 250), now));
            }
            if (random.nextDouble() < load.reviewsPerSecond() / load.clump() / MILLIS_PER_SECOND) {
                waiting = load.clump();
            }
            if (waiting > 0 && now % CLUMP_MILLIS == 0) {
                waiting--;
                long tokens = Math.min(700_000, lognormal(154_000, 0.55));
                reviews.add(begin(new Generation(now, tokens, 51 * 16, 3_000, 1_000), now));
            }
            int time = now;
            engines.values().forEach(engine -> engine.advance(time));
            if (now % REPORT_MILLIS == 0) {
                exchange(now);
            }
        }
        double settled = seconds * MILLIS_PER_SECOND - 5_000;
        return new Outcome(served(shorts, settled), served(reviews, settled));
    }

    private static Served served(List<Generation> generations, double settled) {
        List<Generation> counted =
                generations.stream().filter(each -> each.arrivedAt < settled).toList();
        List<Generation> timely = counted.stream().filter(Generation::isTimely).toList();
        return new Served(counted.size(), timely.size(), tokens(timely) / Math.max(1, tokens(counted)));
    }

    private static double tokens(List<Generation> generations) {
        return generations.stream().mapToDouble(each -> each.promptTokens).sum();
    }

    private long lognormal(double mean, double deviation) {
        return Math.max(
                200, Math.round(mean * Math.exp(deviation * random.nextGaussian() - deviation * deviation / 2)));
    }

    private Generation begin(Generation generation, int now) {
        int gateway = random.nextInt(GATEWAYS);
        LoadTracker book = books.get(gateway);
        Demand demand = new Demand(
                generation.promptTokens, (long) generation.answerTokens, generation.targetMillis, generation.gapMillis);
        List<Candidate> candidates = names.stream()
                .map(name ->
                        new Candidate(name, true, ENGINE.slots(), book.load(name, now), affinity(gateway, name), 1))
                .toList();
        Optional<Placement> placement = policy.place(demand, candidates, Optional.of(ENGINE));
        if (placement.isEmpty()) {
            refused++;
            return generation;
        }
        int readers = placement.get().prefillHelpers().size() + 1;
        double part = ENGINE.prefillMillis(generation.promptTokens) / readers;
        List<LoadTracker.TrackedRequest> tickets = new ArrayList<>();
        tickets.add(book.add(
                placement.get().target(),
                generation.promptTokens,
                placement.get().targetMemoryTokens(demand),
                demand.hasStrictInterTokenLatency(),
                true,
                part,
                now));
        for (int helper = 0; helper < readers - 1; helper++) {
            List<Placement.Allocation> holdings = placement.get().allocations();
            long held = helper < holdings.size() ? holdings.get(helper).tokens() : 0;
            TargetName name = placement.get().prefillHelpers().get(helper);
            tickets.add(book.add(name, generation.promptTokens / readers, held, false, false, part, now));
        }
        generation.onFirst = () -> tickets.forEach(LoadTracker.TrackedRequest::beginWriting);
        generation.onEnd = () -> tickets.forEach(LoadTracker.TrackedRequest::end);
        SimulatedEngine.send(
                generation,
                engines.get(placement.get().target()),
                placement.get().prefillHelpers().stream().map(engines::get).toList());
        return generation;
    }

    private static double affinity(int gateway, TargetName name) {
        return new SplittableRandom(31L * gateway + name.hashCode()).nextDouble();
    }

    private void exchange(int now) {
        for (int from = 0; from < GATEWAYS; from++) {
            boolean whole = now % WHOLE_REPORT_MILLIS == 0;
            LoadTracker.Drained drained = books.get(from).drain();
            var work = whole ? drained.whole() : drained.changes();
            for (int to = 0; to < GATEWAYS; to++) {
                if (to != from) {
                    books.get(to).report("gateway-" + from, work, whole, now);
                }
            }
        }
    }

    int refused() {
        return refused;
    }
}
