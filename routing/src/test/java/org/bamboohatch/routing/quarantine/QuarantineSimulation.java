package org.bamboohatch.routing.quarantine;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Random;

import org.bamboohatch.kernel.id.RequestTrait;
import org.bamboohatch.kernel.id.TargetIncarnation;
import org.bamboohatch.kernel.id.TargetName;

/**
 * Gateways, engines that end when they generate on one prompt part, and callers, in simulated time. Reports between
 * gateways are delayed and lost, connections are reset while engines go on, and one gateway starts late.
 */
final class QuarantineSimulation {

    private static final RequestTrait BAD = new RequestTrait("bad");

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

    /** Crashes after which the part must be found. */
    private static final int CRASHES = 5;

    private static final long CONTACT_MS = 3_000;

    /** Requests with the part that may be sent to engines after the time of contact. */
    private static final int LATE_SENDS = 3;

    /** Share of the sound requests that may be refused because of a part. */
    private static final double REFUSED_SHARE = 0.01;

    private final Random random;

    private final PriorityQueue<Event> events = new PriorityQueue<>(Comparator.comparingLong(Event::at));

    private final List<Gateway> gateways = new ArrayList<>();

    private final List<Engine> engines = new ArrayList<>();

    private final int subjects;

    /** Times at which engines ended under the bad part, in milliseconds. */
    private final List<Long> crashes = new ArrayList<>();

    /** Times at which requests with the bad part were sent to engines, in milliseconds. */
    private final List<Long> badSends = new ArrayList<>();

    /** Times at which sound requests were refused because of a part, in milliseconds. */
    private final List<Long> soundRefusals = new ArrayList<>();

    private int soundRequests;

    private long now;

    private record Event(long at, Runnable action) {}

    private static final class Gateway {

        private final RequestQuarantine quarantine =
                new RequestQuarantine(600_000, RequestQuarantine.Observer.Disabled.INSTANCE);

        private final RequestQuarantine.PendingReport report = quarantine.newReport();

        private final long startsAt;

        Gateway(long startsAt) {
            this.startsAt = startsAt;
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

        private final List<RequestTrait> parts;

        private final int attempt;

        private long firstEventAt;

        Run(Gateway gateway, List<RequestTrait> parts, int attempt) {
            this.gateway = gateway;
            this.parts = parts;
            this.attempt = attempt;
        }

        boolean isBad() {
            return parts.contains(BAD);
        }
    }

    QuarantineSimulation(long seed) {
        random = new Random(seed);
        subjects = 5 + random.nextInt(80);
        int gatewayCount = 2 + random.nextInt(11);
        for (int number = 0; number < gatewayCount; number++) {
            gateways.add(new Gateway(number == 1 ? BAD_FROM_MS + 4_000 : 0));
        }
        int engineCount = 12 + random.nextInt(30);
        for (int number = 0; number < engineCount; number++) {
            engines.add(new Engine(number));
        }
    }

    /** Runs the simulation to its end. */
    QuarantineSimulation run() {
        long soundIntervalMillis = 20 + random.nextInt(60);
        long badIntervalMillis = 80 + random.nextInt(400);
        boolean fixedSubject = random.nextBoolean();
        boolean badPartFirst = random.nextBoolean();
        for (long at = 0; at < END_MS; at += 1 + random.nextInt((int) (2 * soundIntervalMillis))) {
            at(at, () -> arrive(List.of(subject(false))));
        }
        for (long at = BAD_FROM_MS; at < END_MS; at += 1 + random.nextInt((int) (2 * badIntervalMillis))) {
            at(at, () -> {
                RequestTrait subject = subject(fixedSubject);
                arrive(badPartFirst ? List.of(BAD, subject) : List.of(subject, BAD));
            });
        }
        for (long at = 0; at < END_MS; at += CHANGES_INTERVAL_MS) {
            boolean complete = at % COMPLETE_INTERVAL_MS < CHANGES_INTERVAL_MS;
            at(at, () -> exchange(complete));
        }
        for (long at = 1_000; at < END_MS; at += 3_000) {
            at(at, this::resetConnections);
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
        long found = crashes.size() < CRASHES ? Long.MAX_VALUE : crashes.get(CRASHES - 1) + CONTACT_MS;
        long lateSends = badSends.stream().filter(sent -> sent > found).count();
        if (lateSends > LATE_SENDS) {
            violations.add(lateSends + " late requests with the part, crashes at " + crashes);
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

    private void arrive(List<RequestTrait> parts) {
        List<Gateway> present =
                gateways.stream().filter(gateway -> now >= gateway.startsAt).toList();
        if (!parts.contains(BAD)) {
            soundRequests++;
        }
        send(new Run(present.get(random.nextInt(present.size())), parts, 1));
    }

    private void send(Run run) {
        List<Engine> running = engines.stream().filter(engine -> engine.running).toList();
        if (run.gateway.quarantine.find(run.parts, now).isPresent()) {
            if (!run.isBad()) {
                soundRefusals.add(now);
            }
            return;
        }
        if (running.isEmpty()) {
            return;
        }
        Engine engine = running.get(random.nextInt(running.size()));
        engine.runs.add(run);
        if (run.isBad()) {
            badSends.add(now);
        }
        at(now + 30 + random.nextInt(200), () -> beginGeneration(engine, run));
    }

    private void beginGeneration(Engine engine, Run run) {
        if (!engine.runs.contains(run)) {
            return;
        }
        if (run.isBad()) {
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
                run.gateway.quarantine.recordGeneration(run.parts, now);
            }
        }
    }

    private void complete(Engine engine, Run run) {
        if (engine.runs.remove(run)) {
            run.gateway.quarantine.recordGeneration(run.parts, now);
        }
    }

    private void crash(Engine engine, long incarnation) {
        if (!engine.running || engine.incarnation != incarnation) {
            return;
        }
        crashes.add(now);
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
            run.gateway.quarantine.recordCrash(engine.toIncarnation(), run.parts, now);
        }
        if (run.attempt < MAX_ATTEMPTS) {
            send(new Run(run.gateway, run.parts, run.attempt + 1));
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
