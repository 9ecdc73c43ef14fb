package org.bamboohatch.routing.quarantine;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;

import org.bamboohatch.kernel.id.RequestTrait;
import org.bamboohatch.kernel.id.TargetIncarnation;
import org.bamboohatch.kernel.id.TargetName;

/**
 * Gateways, engines that end when they run requests with one trait, and callers, in simulated time. The trait is a prompt
 * part or a content. Reports between gateways are delayed and lost, connections are reset while engines go on, several
 * engines lose power at once, and one gateway starts late.
 */
final class QuarantineSimulation {

    private static final RequestTrait BAD_PART = new RequestTrait("bad");

    private static final RequestTrait BAD_CONTENT = RequestTrait.ofContent("bad");

    private static final long END_MS = 40_000;

    /** Time at which the first request with the bad part comes, in milliseconds. */
    private static final long BAD_FROM_MS = 8_000;

    private static final long CHANGES_INTERVAL_MS = 15;

    private static final long COMPLETE_INTERVAL_MS = 1_000;

    /** Complete reports in a row after a gateway has started. */
    private static final int NEWCOMER_REPORTS = 3;

    private static final double REPORT_LOSS = 0.05;

    private static final int MAX_ATTEMPTS = 2;

    private static final long PROVEN_GENERATION_MS = 500;

    /** Crashes after which a prompt part must be found. */
    private static final int CRASHES_UNDER_PART = 5;

    /** Crashes after which a content must be found. */
    private static final int CRASHES_UNDER_CONTENT = 3;

    /** Share of the sound requests that many callers send. */
    private static final double POPULAR_SHARE = 0.4;

    private static final long CONTACT_MS = 3_000;

    /** Requests with the trait that may be sent to engines after the time of contact. */
    private static final int LATE_SENDS = 3;

    /** Share of the sound requests that may be refused because of a trait. */
    private static final double REFUSED_SHARE = 0.01;

    private final Random random;

    private final PriorityQueue<Event> events = new PriorityQueue<>(Comparator.comparingLong(Event::at));

    private final List<Gateway> gateways = new ArrayList<>();

    private final List<Engine> engines = new ArrayList<>();

    private final int subjects;

    private final int popularContents;

    /** The trait that ends engines. */
    private final RequestTrait bad;

    /** Times at which engines ended under the bad trait, in milliseconds. */
    private final List<Long> crashes = new ArrayList<>();

    /** Times at which requests with the bad trait were sent to engines, in milliseconds. */
    private final List<Long> badSends = new ArrayList<>();

    /** Times at which sound requests were refused because of a trait, in milliseconds. */
    private final List<Long> soundRefusals = new ArrayList<>();

    private int soundRequests;

    private int uniqueContents;

    private long now;

    private record Event(long at, Runnable action) {}

    private static final class Gateway {

        private final RequestQuarantine quarantine =
                new RequestQuarantine(600_000, RequestQuarantine.Observer.Disabled.INSTANCE);

        private final RequestQuarantine.PendingReport report = quarantine.newReport();

        private final int number;

        private final long startsAt;

        Gateway(int number, long startsAt) {
            this.number = number;
            this.startsAt = startsAt;
        }

        String name() {
            return "gateway-" + number;
        }
    }

    private static final class Engine {

        private final TargetName name;

        private long incarnation = 1;

        private boolean running = true;

        private final List<Run> runs = new ArrayList<>();

        Engine(int number) {
            this.name = new TargetName("engine-" + number);
        }

        TargetIncarnation toIncarnation() {
            return new TargetIncarnation(name, incarnation);
        }
    }

    /** An attempt at an engine. */
    private static final class Run {

        private final Gateway gateway;

        private final List<RequestTrait> traits;

        private final int attempt;

        private long firstEventAt;

        Run(Gateway gateway, List<RequestTrait> traits, int attempt) {
            this.gateway = gateway;
            this.traits = traits;
            this.attempt = attempt;
        }
    }

    QuarantineSimulation(long seed) {
        random = new Random(seed);
        bad = random.nextBoolean() ? BAD_CONTENT : BAD_PART;
        subjects = 5 + random.nextInt(80);
        popularContents = 1 + random.nextInt(20);
        int gatewayCount = 2 + random.nextInt(11);
        for (int number = 0; number < gatewayCount; number++) {
            gateways.add(new Gateway(number, number == 1 ? BAD_FROM_MS + 4_000 : 0));
        }
        boolean smallService = bad.isContent() && random.nextInt(3) == 0;
        int engineCount = smallService ? 3 + random.nextInt(3) : 12 + random.nextInt(30);
        for (int number = 0; number < engineCount; number++) {
            engines.add(new Engine(number));
        }
        List<String> names = gateways.stream().map(Gateway::name).toList();
        gateways.forEach(gateway -> gateway.quarantine.setGateways(names, gateway.name()));
    }

    /** Runs the simulation to its end. */
    QuarantineSimulation run() {
        long soundIntervalMillis = 20 + random.nextInt(60);
        long badIntervalMillis = 80 + random.nextInt(400);
        boolean fixedSubject = random.nextBoolean();
        boolean badPartFirst = random.nextBoolean();
        for (long at = 0; at < END_MS; at += 1 + random.nextInt((int) (2 * soundIntervalMillis))) {
            at(at, () -> arrive(List.of(subject(false), soundContent())));
        }
        for (long at = BAD_FROM_MS; at < END_MS; at += 1 + random.nextInt((int) (2 * badIntervalMillis))) {
            at(at, () -> {
                RequestTrait subject = subject(fixedSubject);
                if (bad.isContent()) {
                    arrive(List.of(subject, bad));
                } else {
                    arrive(
                            badPartFirst
                                    ? List.of(bad, subject, uniqueContent())
                                    : List.of(subject, bad, uniqueContent()));
                }
            });
        }
        for (long at = 0; at < END_MS; at += CHANGES_INTERVAL_MS) {
            boolean complete = at % COMPLETE_INTERVAL_MS < CHANGES_INTERVAL_MS;
            at(at, () -> exchange(complete));
        }
        for (long at = 1_000; at < END_MS; at += 3_000) {
            at(at, this::resetConnections);
        }
        for (int powerLoss = 0; powerLoss < 2; powerLoss++) {
            at(3_000 + random.nextInt((int) END_MS - 3_000), this::losePower);
        }
        for (Gateway gateway : gateways) {
            for (int report = 0; report < NEWCOMER_REPORTS; report++) {
                at(gateway.startsAt + report * CHANGES_INTERVAL_MS, () -> exchange(true));
            }
        }
        while (!events.isEmpty()) {
            Event event = events.poll();
            now = event.at();
            event.action().run();
        }
        return this;
    }

    /**
     * Returns what went wrong.
     *
     * @return a sentence for each violation
     */
    List<String> violations() {
        List<String> violations = new ArrayList<>();
        int needed = bad.isContent() ? CRASHES_UNDER_CONTENT : CRASHES_UNDER_PART;
        long found = crashes.size() < needed ? Long.MAX_VALUE : crashes.get(needed - 1) + CONTACT_MS;
        long lateSends = badSends.stream().filter(sent -> sent > found).count();
        if (lateSends > LATE_SENDS) {
            violations.add(lateSends + " late requests with " + bad.value() + ", crashes at " + crashes);
        }
        if (soundRefusals.size() > REFUSED_SHARE * soundRequests) {
            violations.add(soundRefusals.size() + " of " + soundRequests + " sound requests refused");
        }
        return violations;
    }

    int crashCount() {
        return crashes.size();
    }

    int soundRequestCount() {
        return soundRequests;
    }

    int soundRefusalCount() {
        return soundRefusals.size();
    }

    private void at(long time, Runnable action) {
        events.add(new Event(time, action));
    }

    private RequestTrait subject(boolean fixed) {
        double place = fixed ? 0 : Math.pow(random.nextDouble(), 1.5);
        return new RequestTrait("subject-" + (int) (place * subjects));
    }

    private RequestTrait soundContent() {
        return random.nextDouble() < POPULAR_SHARE
                ? RequestTrait.ofContent("popular-" + random.nextInt(popularContents))
                : uniqueContent();
    }

    private RequestTrait uniqueContent() {
        uniqueContents++;
        return RequestTrait.ofContent("unique-" + uniqueContents);
    }

    private boolean isBad(Run run) {
        return run.traits.contains(bad);
    }

    private void arrive(List<RequestTrait> traits) {
        List<Gateway> present =
                gateways.stream().filter(gateway -> now >= gateway.startsAt).toList();
        if (!traits.contains(bad)) {
            soundRequests++;
        }
        send(new Run(present.get(random.nextInt(present.size())), traits, 1));
    }

    private void send(Run run) {
        List<Engine> running = engines.stream().filter(engine -> engine.running).toList();
        Optional<RequestQuarantine.Entry> quarantined = run.gateway.quarantine.find(run.traits, now);
        if (quarantined.isPresent()
                && !run.gateway.quarantine.beginTrial(quarantined.get().trait(), now)) {
            if (!isBad(run)) {
                soundRefusals.add(now);
            }
            return;
        }
        if (running.isEmpty()) {
            return;
        }
        Engine engine = running.get(random.nextInt(running.size()));
        engine.runs.add(run);
        if (isBad(run)) {
            badSends.add(now);
        }
        at(now + 30 + random.nextInt(200), () -> beginGeneration(engine, run));
    }

    private void beginGeneration(Engine engine, Run run) {
        if (!engine.runs.contains(run)) {
            return;
        }
        if (isBad(run)) {
            long incarnation = engine.incarnation;
            at(now + 30 + random.nextInt(60), () -> crash(engine, incarnation));
            return;
        }
        run.firstEventAt = now;
        long end = now + 200 + random.nextInt(2_000);
        for (long event = now; event < end; event += 50) {
            at(event, () -> sendEvent(engine, run));
        }
        at(end, () -> complete(engine, run));
    }

    private void sendEvent(Engine engine, Run run) {
        if (engine.runs.contains(run)) {
            run.gateway.quarantine.recordActivity(engine.toIncarnation(), now);
            if (now - run.firstEventAt >= PROVEN_GENERATION_MS) {
                run.gateway.quarantine.recordGeneration(run.traits, now);
            }
        }
    }

    private void complete(Engine engine, Run run) {
        if (engine.runs.remove(run)) {
            run.gateway.quarantine.recordGeneration(run.traits, now);
        }
    }

    /** Ends some engines at once, whatever they run; now and then all of them. */
    private void losePower() {
        boolean all = random.nextInt(4) == 0;
        engines.stream()
                .filter(engine -> engine.running && (all || random.nextInt(3) == 0))
                .toList()
                .forEach(engine -> {
                    if (engine.runs.stream().anyMatch(this::isBad)) {
                        crashes.add(now);
                    }
                    end(engine);
                });
    }

    private void crash(Engine engine, long incarnation) {
        if (engine.running && engine.incarnation == incarnation) {
            crashes.add(now);
            end(engine);
        }
    }

    private void end(Engine engine) {
        engine.running = false;
        List<Run> lost = List.copyOf(engine.runs);
        engine.runs.clear();
        lost.forEach(run -> lose(engine, run));
        at(now + 2_000 + random.nextInt(2_000), () -> {
            engine.incarnation++;
            engine.running = true;
        });
    }

    private void lose(Engine engine, Run run) {
        if (run.firstEventAt == 0 || now - run.firstEventAt < PROVEN_GENERATION_MS) {
            run.gateway.quarantine.recordCrash(engine.toIncarnation(), run.traits, now);
        }
        if (run.attempt < MAX_ATTEMPTS) {
            send(new Run(run.gateway, run.traits, run.attempt + 1));
        }
    }

    /** Ends half of the connections of one gateway; the engines go on. */
    private void resetConnections() {
        Gateway gateway = gateways.get(random.nextInt(gateways.size()));
        for (Engine engine : engines) {
            for (Run run : List.copyOf(engine.runs)) {
                if (run.gateway == gateway && random.nextBoolean()) {
                    engine.runs.remove(run);
                    lose(engine, run);
                }
            }
        }
    }

    private void exchange(boolean complete) {
        for (Gateway sender : gateways) {
            if (now < sender.startsAt) {
                continue;
            }
            RequestQuarantine.Observations report = complete ? sender.report.takeAll(now) : sender.report.takeChanges();
            for (Gateway receiver : gateways) {
                boolean delivered = random.nextDouble() >= REPORT_LOSS && now >= receiver.startsAt;
                if (receiver != sender && !report.isEmpty() && delivered) {
                    at(now + 3 + random.nextInt(10), () -> receiver.quarantine.apply(report, now));
                }
            }
        }
    }
}
