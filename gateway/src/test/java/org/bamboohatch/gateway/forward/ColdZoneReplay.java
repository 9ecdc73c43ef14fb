package org.bamboohatch.gateway.forward;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.stream.IntStream;

import org.bamboohatch.document.fleet.CallerLimits;
import org.bamboohatch.document.fleet.EngineCostModel;
import org.bamboohatch.document.fleet.FleetConfiguration;
import org.bamboohatch.document.fleet.FleetService;
import org.bamboohatch.gateway.configuration.FleetView;
import org.bamboohatch.gateway.configuration.RouteTable;
import org.bamboohatch.gateway.load.ExchangedState;
import org.bamboohatch.gateway.load.LoadTracker;
import org.bamboohatch.gateway.load.WaitingWork;
import org.bamboohatch.gateway.target.ColdTargets;
import org.bamboohatch.gateway.target.LeavingTargets;
import org.bamboohatch.gateway.target.TargetAddress;
import org.bamboohatch.gateway.target.TargetLimits;
import org.bamboohatch.gateway.target.TargetPauses;
import org.bamboohatch.gateway.target.TargetRamps;
import org.bamboohatch.kernel.id.HostName;
import org.bamboohatch.kernel.id.ServiceName;
import org.bamboohatch.kernel.id.TargetName;
import org.bamboohatch.kernel.id.ZoneName;
import org.bamboohatch.protocol.message.TargetAnnouncement;
import org.bamboohatch.routing.fleet.Candidate;
import org.bamboohatch.routing.fleet.Demand;
import org.bamboohatch.routing.fleet.Placement;
import org.bamboohatch.routing.fleet.PlacementPolicy;
import org.bamboohatch.routing.quarantine.RequestQuarantine;
import org.bamboohatch.routing.retry.ColdPeriod;
import org.bamboohatch.routing.retry.ConcurrencyRamp;

/**
 * Replays a zone of 20 engines that comes back cold beside 40 busy ones, with 30 gateways of unequal load whose clocks differ
 * and whose load reports are partly lost. A cold engine works slowly and crashes if it gets too many requests in a second.
 */
final class ColdZoneReplay {

    static final int RETURN_MS = 10_000;

    static final int COLD_MS = 8_000;

    static final double COLD_PER_SECOND = 4;

    static final int END_MS = 34_000;

    private static final EngineCostModel ENGINE =
            new EngineCostModel(8, 450_000, 52, 0.925, 0.006, 0.00285, 256_000, 0.184, 2_048, 200, 0.05, 11_000, 1_600);

    private static final ServiceName SERVICE = new ServiceName("engines");

    private static final int ENGINES = 60;

    private static final int ZONES = 3;

    private static final int RETURNING_ZONE = 2;

    private static final int GATEWAYS = 30;

    /** Gateways with a whole core; the others have about a quarter of their load. */
    private static final int LARGE_GATEWAYS = 6;

    private static final double SMALL_SHARE = 0.27;

    /** Factor by which a cold engine takes longer. */
    private static final double COLD_SLOWDOWN = 4;

    private static final int DOWN_MS = 4_000;

    private static final int NEAR_INTERVAL_MS = 20;

    private static final int FAR_INTERVAL_MS = 120;

    private static final int COMPLETE_INTERVAL_MS = 1_000;

    /** Interval at which each target announces itself. */
    private static final int ANNOUNCE_INTERVAL_MS = 1_200;

    private static final double SECOND_MS = 1_000;

    final List<Engine> engines = new ArrayList<>();

    private final List<Gateway> gateways = new ArrayList<>();

    private final PriorityQueue<Event> events =
            new PriorityQueue<>(Comparator.comparingInt(Event::at).thenComparingLong(Event::number));

    private final SplittableRandom random;

    private final Options options;

    private final RouteTable configuration;

    private long eventCount;

    private long membershipVersion;

    private int now;

    int refused;

    /** Number of gateways that callers reach. */
    private int present = GATEWAYS;

    /**
     * Variant of a replay.
     *
     * @param limited whether the configuration names a rate of cold targets
     * @param lostReports share of load reports that are lost
     * @param lossUntil time until which all load reports are lost after the return of the zone, in milliseconds
     * @param shortPerSecond arrivals of short questions over all gateways
     * @param coldAgain whether the engines of the zone become cold a second time, as when a host recovers
     * @param gatewaysChange whether six gateways leave and return during the cold time
     */
    record Options(
            boolean limited,
            double lostReports,
            int lossUntil,
            double shortPerSecond,
            boolean coldAgain,
            boolean gatewaysChange) {}

    private record Event(int at, long number, Runnable action) {}

    /** A request as it reached an engine. */
    static final class Arrival {

        final int at;

        final boolean cold;

        int firstEventMillis = -1;

        private Arrival(int at, boolean cold) {
            this.at = at;
            this.cold = cold;
        }
    }

    /** An engine that prefills one prompt after the other. */
    final class Engine {

        final TargetName name;

        final int zone;

        final List<Arrival> arrivals = new ArrayList<>();

        int crashes;

        private int incarnation = 1;

        private int coldUntil;

        private boolean up;

        private double prefillDoneAt;

        private Engine(int number) {
            name = new TargetName("engine-" + number);
            zone = number % ZONES;
            up = zone != RETURNING_ZONE;
        }

        boolean returns() {
            return zone == RETURNING_ZONE;
        }

        private boolean isCold() {
            return now < coldUntil;
        }

        private void start() {
            up = true;
            incarnation++;
            coldUntil = now + COLD_MS;
            prefillDoneAt = now;
        }

        private void crash() {
            crashes++;
            up = false;
            membershipVersion++;
            after(DOWN_MS, () -> {
                start();
                publish();
            });
            publish();
        }

        private TargetAnnouncement announcement(int age) {
            long left = Math.max(0, coldUntil - now);
            return new TargetAnnouncement(
                    name,
                    SERVICE,
                    new HostName("host-" + name.value()),
                    zone(zone),
                    "127.0.0.1:1",
                    incarnation,
                    List.of(),
                    0,
                    ENGINE.slots(),
                    false,
                    membershipVersion + 1,
                    left + age,
                    (long) age);
        }

        /** Returns the arrival, or null if the engine is down or crashes because of it. */
        private Arrival receive(double prefillMillis) {
            if (!up) {
                return null;
            }
            Arrival arrival = new Arrival(now, isCold());
            arrivals.add(arrival);
            long inSecond = arrivals.stream()
                    .filter(each -> each.cold && each.at > now - SECOND_MS)
                    .count();
            if (isCold() && inSecond > 1.5 * COLD_PER_SECOND + 5) {
                crash();
                return null;
            }
            double factor = isCold() ? COLD_SLOWDOWN : 1;
            prefillDoneAt = Math.max(prefillDoneAt, now) + prefillMillis * factor;
            arrival.firstEventMillis = (int) Math.round(prefillDoneAt - now + ENGINE.stepMillis() * 52 * factor);
            return arrival;
        }

        /** Returns the largest number of requests in any second while the engine was cold. */
        int mostPerColdSecond() {
            List<Arrival> cold = arrivals.stream().filter(each -> each.cold).toList();
            return (int) cold.stream()
                    .mapToLong(begin -> cold.stream()
                            .filter(each -> each.at >= begin.at && each.at < begin.at + SECOND_MS)
                            .count())
                    .max()
                    .orElse(0);
        }
    }

    /** A gateway with its own clock and its own view of load and membership. */
    private final class Gateway {

        private final HostName host;

        private final int zone;

        private final long clockOffset = random.nextInt(1, 1_000_000);

        private final TargetLimits limits;

        private final LoadTracker loadTracker = new LoadTracker();

        private final ColdTargets cold;

        private final ExchangedState state;

        private final TargetCatalog catalog;

        private final LoadTracker.PendingReport nearLoad = loadTracker.newReport();

        private final LoadTracker.PendingReport farLoad = loadTracker.newReport();

        private final ColdTargets.PendingReport nearCold;

        private final ColdTargets.PendingReport farCold;

        private final TargetRamps ramps = new TargetRamps(TargetRamps.Observer.Disabled.INSTANCE);

        private final TargetRamps.PendingReport nearRamps = ramps.newReport();

        private final TargetRamps.PendingReport farRamps = ramps.newReport();

        private Gateway(int number) {
            host = new HostName("gateway-" + number);
            zone = number % ZONES;
            limits = new TargetLimits(host);
            cold = new ColdTargets(limits, ColdTargets.Observer.Disabled.INSTANCE);
            state = new ExchangedState(
                    loadTracker,
                    new LeavingTargets(),
                    new TargetPauses(),
                    limits,
                    new RequestQuarantine(60_000, RequestQuarantine.Observer.Disabled.INSTANCE),
                    cold,
                    ramps,
                    new WaitingWork(host.value()));
            catalog = new TargetCatalog(host, zone(zone), state);
            nearCold = cold.newReport();
            farCold = cold.newReport();
            setGateways(GATEWAYS);
        }

        private void setGateways(int count) {
            limits.setGateways(
                    IntStream.range(0, count)
                            .mapToObj(each -> "gateway-" + each)
                            .toList(),
                    host.value(),
                    clock());
        }

        private long clock() {
            return now + clockOffset;
        }

        private void send(Demand demand) {
            List<Candidate> candidates = catalog.candidates(SERVICE, Set.of(), clock());
            Optional<Placement> placement = ColdHelpers.placeWithout(
                    PlacementPolicy.PREDICTED,
                    demand,
                    candidates,
                    Optional.of(ENGINE),
                    target -> catalog.isCold(target, clock()));
            if (placement.isEmpty()) {
                refused++;
                return;
            }
            int count = 1 + placement.get().prefillHelpers().size();
            double prefillMillis = ENGINE.prefillMillis(demand.promptTokens()) / count;
            TargetAddress address = catalog.find(placement.get().target());
            long sentAt = clock();
            List<LoadTracker.TrackedRequest> tracked = new ArrayList<>();
            tracked.add(loadTracker.add(
                    address.target(),
                    demand.promptTokens(),
                    placement.get().targetMemoryTokens(demand),
                    demand.hasStrictInterTokenLatency(),
                    true,
                    prefillMillis,
                    clock()));
            for (TargetName helper : placement.get().prefillHelpers()) {
                tracked.add(loadTracker.add(
                        helper, demand.promptTokens() / count, 0, false, false, prefillMillis, clock()));
            }
            catalog.recordDispatch(address, clock());
            after(
                    linkMillis(zone, engine(address.target()).zone),
                    () -> arrive(address, demand, placement.get(), tracked, sentAt));
        }

        private void arrive(
                TargetAddress address,
                Demand demand,
                Placement placement,
                List<LoadTracker.TrackedRequest> tracked,
                long sentAt) {
            double prefillMillis = ENGINE.prefillMillis(demand.promptTokens()) / tracked.size();
            Engine target = engine(placement.target());
            Arrival arrival = target.receive(prefillMillis);
            if (arrival == null) {
                tracked.forEach(LoadTracker.TrackedRequest::end);
                catalog.recordFailure(address, clock());
                return;
            }
            placement.prefillHelpers().forEach(helper -> engine(helper).receive(prefillMillis));
            int firstEventAt = now + arrival.firstEventMillis;
            at(firstEventAt, () -> {
                tracked.forEach(LoadTracker.TrackedRequest::beginDecoding);
                boolean inTime = ConcurrencyRamp.isInTime(
                        clock() - sentAt, placement.timeToFirstTokenMillis(), demand.targetLatencyMillis());
                catalog.recordFirstEvent(address, sentAt, inTime, clock());
                if (options.limited() && target.up) {
                    catalog.recordCold(address, Math.max(0, target.coldUntil - now), OptionalLong.of(sentAt), clock());
                }
            });
            double decodeMillis = demand.outputTokens() / 52.0 * ENGINE.decodePassMillis(5, 30_000);
            at(firstEventAt + (int) decodeMillis, () -> tracked.forEach(LoadTracker.TrackedRequest::end));
        }
    }

    ColdZoneReplay(Options options, long seed) {
        this.options = options;
        this.random = new SplittableRandom(seed);
        FleetService service = new FleetService(
                SERVICE, "/", 100, Optional.of(ENGINE), COLD_MS, options.limited() ? COLD_PER_SECOND : 0);
        configuration = new RouteTable(
                new FleetConfiguration(1, List.of(), List.of(service), CallerLimits.DEFAULT, Optional.empty()));
        for (int number = 0; number < ENGINES; number++) {
            engines.add(new Engine(number));
        }
        for (int number = 0; number < GATEWAYS; number++) {
            gateways.add(new Gateway(number));
        }
    }

    private static ZoneName zone(int number) {
        return new ZoneName("zone-" + number);
    }

    private int linkMillis(int from, int to) {
        return from == to ? 1 : 4 + random.nextInt(3);
    }

    private Engine engine(TargetName name) {
        return engines.stream()
                .filter(each -> each.name.equals(name))
                .findFirst()
                .orElseThrow();
    }

    private void after(int millis, Runnable action) {
        at(now + millis, action);
    }

    private void at(int time, Runnable action) {
        events.add(new Event(time, eventCount++, action));
    }

    /** Publishes the membership to all gateways, each after a delay of its own. */
    private void publish() {
        membershipVersion++;
        Map<TargetName, TargetAnnouncement> members = new HashMap<>();
        int heardBefore = random.nextInt(20);
        engines.stream()
                .filter(engine -> engine.up)
                .forEach(engine -> members.put(engine.name, engine.announcement(heardBefore)));
        FleetView view = new FleetView(Optional.of(configuration), 1, membershipVersion, members, List.of());
        gateways.forEach(gateway -> after(2 + random.nextInt(60), () -> gateway.catalog.apply(view, gateway.clock())));
    }

    /** Changes the number of gateways; each of them hears of it within the time that a poll of control takes at most. */
    private void changeGateways(int count) {
        present = Math.min(present, count);
        after(600, () -> present = count);
        gateways.forEach(gateway -> after(random.nextInt(600), () -> gateway.setGateways(count)));
    }

    /** Plays all events and arrivals. */
    void run() {
        publish();
        at(RETURN_MS, this::returnZone);
        if (options.gatewaysChange()) {
            at(RETURN_MS + 2_000, () -> changeGateways(GATEWAYS - LARGE_GATEWAYS));
            at(RETURN_MS + 5_000, () -> changeGateways(GATEWAYS));
        }
        if (options.coldAgain()) {
            at(RETURN_MS + COLD_MS + 6_000, () -> {
                engines.stream()
                        .filter(engine -> engine.returns() && engine.up)
                        .forEach(engine -> engine.coldUntil = now + COLD_MS / 2);
                publish();
            });
        }
        for (now = 0; now < END_MS; now++) {
            while (!events.isEmpty() && events.peek().at() <= now) {
                events.poll().action().run();
            }
            if (now > 100) {
                arrive(options.shortPerSecond(), 4_960, 1_716, 259, 200);
                arrive(8.5, 45_000, 1_040, 1_514, 500);
                arrive(0.4, 300_000, 1_040, 8_024, 800);
            }
            if (now % NEAR_INTERVAL_MS == 0) {
                exchangeReports();
            }
        }
    }

    private void returnZone() {
        engines.stream().filter(Engine::returns).forEach(Engine::start);
        publish();
    }

    private void arrive(double perSecond, long promptTokens, long outputTokens, double objective, double gap) {
        if (random.nextDouble() < perSecond / SECOND_MS) {
            double total = LARGE_GATEWAYS + (GATEWAYS - LARGE_GATEWAYS) * SMALL_SHARE;
            double drawn = random.nextDouble() * total;
            int number = drawn < LARGE_GATEWAYS
                    ? (int) drawn
                    : LARGE_GATEWAYS + (int) ((drawn - LARGE_GATEWAYS) / SMALL_SHARE);
            gateways.get(number % present).send(new Demand(promptTokens, outputTokens, objective, gap));
        }
    }

    private void exchangeReports() {
        boolean complete = now % COMPLETE_INTERVAL_MS == 0;
        boolean farDue = complete || now % FAR_INTERVAL_MS == 0;
        for (Gateway from : gateways) {
            var load = complete ? from.nearLoad.takeAll() : from.nearLoad.takeChanges();
            var cold = complete ? from.nearCold.takeAll(from.clock()) : from.nearCold.takeChanges();
            var ramps = complete ? from.nearRamps.takeAll(from.clock()) : from.nearRamps.takeChanges();
            var farRamps =
                    !farDue ? null : complete ? from.farRamps.takeAll(from.clock()) : from.farRamps.takeChanges();
            var farLoad = !farDue ? null : complete ? from.farLoad.takeAll() : from.farLoad.takeChanges();
            var farCold = !farDue ? null : complete ? from.farCold.takeAll(from.clock()) : from.farCold.takeChanges();
            for (Gateway to : gateways) {
                boolean near = from.zone == to.zone;
                if (from == to || !near && !farDue || isLost()) {
                    continue;
                }
                long difference = to.clockOffset - from.clockOffset;
                after(linkMillis(from.zone, to.zone), () -> {
                    to.loadTracker.applyReport(from.host.value(), near ? load : farLoad, to.clock());
                    (near ? cold : farCold)
                            .forEach(statement -> to.cold.apply(moved(statement, difference), to.clock()));
                    (near ? ramps : farRamps)
                            .forEach(statement -> to.ramps.apply(moved(statement, difference), to.clock()));
                });
            }
        }
    }

    private static ColdTargets.Statement moved(ColdTargets.Statement statement, long difference) {
        return new ColdTargets.Statement(
                statement.target(),
                new ColdPeriod(
                        statement.period().endsAt() + difference,
                        statement.period().statedAt() + difference));
    }

    private static TargetRamps.Statement moved(TargetRamps.Statement statement, long difference) {
        ConcurrencyRamp ramp = statement.ramp();
        return new TargetRamps.Statement(
                statement.target(),
                new ConcurrencyRamp(
                        ramp.limit(),
                        ramp.neededAt() + difference,
                        moved(ramp.increasedAt(), difference),
                        moved(ramp.decreasedAt(), difference)));
    }

    private static long moved(long time, long difference) {
        return time == Long.MIN_VALUE ? time : time + difference;
    }

    private boolean isLost() {
        boolean blackout = now >= RETURN_MS && now < options.lossUntil();
        return blackout || random.nextDouble() < options.lostReports();
    }

    /** Returns the arrivals at the returned zone between two times after its return. */
    List<Arrival> returnedArrivals(int fromMillis, int toMillis) {
        return engines.stream()
                .filter(Engine::returns)
                .flatMap(engine -> engine.arrivals.stream())
                .filter(each -> each.at >= RETURN_MS + fromMillis && each.at < RETURN_MS + toMillis)
                .toList();
    }

    /** Returns the share of all arrivals between two times after the return that reached the returned zone. */
    double returnedShare(int fromMillis, int toMillis) {
        long all = engines.stream()
                .flatMap(engine -> engine.arrivals.stream())
                .filter(each -> each.at >= RETURN_MS + fromMillis && each.at < RETURN_MS + toMillis)
                .count();
        return (double) returnedArrivals(fromMillis, toMillis).size() / Math.max(1, all);
    }

    int mostPerColdSecond() {
        return engines.stream().mapToInt(Engine::mostPerColdSecond).max().orElse(0);
    }

    int crashes() {
        return engines.stream().mapToInt(engine -> engine.crashes).sum();
    }

    /** Describes the first ten seconds after the return of the zone. */
    String describe() {
        int[] first = returnedArrivals(0, 10_000).stream()
                .mapToInt(each -> each.firstEventMillis)
                .filter(millis -> millis >= 0)
                .sorted()
                .toArray();
        StringBuilder text = new StringBuilder("requests to the zone in 10 s " + first.length);
        if (first.length > 0) {
            text.append(", first event ms median ")
                    .append(first[first.length / 2])
                    .append(" p95 ")
                    .append(first[first.length * 95 / 100])
                    .append(" max ")
                    .append(Arrays.stream(first).max().getAsInt());
        }
        text.append(", most in a cold second ").append(mostPerColdSecond());
        text.append(", crashes ").append(crashes()).append(", refused ").append(refused);
        text.append(", share by second");
        for (int second = 0; second < (END_MS - RETURN_MS) / 1_000; second++) {
            text.append(String.format(" %.2f", returnedShare(second * 1_000, (second + 1) * 1_000)));
        }
        return text.toString();
    }
}
