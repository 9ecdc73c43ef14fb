package org.bamboohatch.routing.quarantine;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.bamboohatch.kernel.id.RequestTrait;
import org.bamboohatch.kernel.id.TargetIncarnation;
import org.bamboohatch.routing.quarantine.TargetCrash.State;

/**
 * Keeps requests from targets if they have a trait that ends targets. What gateways observe of crashes and of responses is
 * combined, so all come to the same conclusion; it is withdrawn when a response refutes it. Not thread-safe.
 */
public final class RequestQuarantine {

    /** Time after a crash before it counts, in milliseconds, in which others report on it and on its suspects. */
    static final long SETTLING_MS = 250;

    /** Age from which a crash without a known cause no longer counts, in milliseconds. */
    static final long UNEXPLAINED_EXPIRY_MS = 60_000;

    /** Age up to which all suspects of a crash are reported again and reconsidered, in milliseconds. */
    private static final long CONCLUSION_MS = 10_000;

    /** Interval at which the age of crashes is checked, in milliseconds. */
    private static final long EXPIRY_CHECK_MS = 1_000;

    /** Crashes that are remembered for each trait in quarantine; enough to show the case to a gateway that starts. */
    private static final int CRASHES_PER_TRAIT = CrashAttribution.MOST_REQUIRED_CRASHES + 2;

    /** Crashes that are remembered; beyond that the oldest one is forgotten. */
    private static final int MAX_CRASHES = 256;

    /** Traits of which the last response is remembered; beyond that the one least recently generated on is forgotten. */
    private static final int MAX_GENERATED_TRAITS = 16_384;

    private final long durationMillis;

    private final Observer observer;

    private final Map<TargetIncarnation, TargetCrash> crashes = new LinkedHashMap<>();

    /** Time at which a response was last generated on a trait, in milliseconds, by trait. */
    private final Map<RequestTrait, Long> generatedAt = new LinkedHashMap<>(16, 0.75f, true) {

        @Override
        protected boolean removeEldestEntry(Map.Entry<RequestTrait, Long> eldest) {
            return size() > MAX_GENERATED_TRAITS;
        }
    };

    private Map<RequestTrait, Verdict> quarantined = Map.of();

    private final TrialSchedule trials = new TrialSchedule();

    /** Time of the next assessment, in milliseconds. */
    private long assessAt = Long.MAX_VALUE;

    private final List<PendingReport> pendingReports = new ArrayList<>();

    /** Is told what comes into quarantine and what leaves it. */
    public interface Observer {

        /**
         * Invoked when requests with a trait are kept from targets from now on.
         *
         * @param trait the trait
         * @param crashes the crashes that it explains, the oldest first
         */
        void onQuarantined(RequestTrait trait, List<TargetCrash> crashes);

        /**
         * Invoked when requests with a trait may be sent again.
         *
         * @param trait the trait
         */
        void onReleased(RequestTrait trait);

        /** Observes nothing. */
        enum Disabled implements Observer {
            /** The only instance. */
            INSTANCE;

            @Override
            public void onQuarantined(RequestTrait trait, List<TargetCrash> crashes) {
                // Nothing to observe.
            }

            @Override
            public void onReleased(RequestTrait trait) {
                // Nothing to observe.
            }
        }
    }

    /**
     * A trait in quarantine.
     *
     * @param trait the trait
     * @param until time at which too few of the crashes that it caused are recent enough, in milliseconds
     */
    public record Entry(RequestTrait trait, long until) {}

    /**
     * Observations that gateways exchange. Those of several gateways may be applied in any order and more than once.
     *
     * @param crashes crashes of targets
     * @param generatedAt time at which a response was last generated on a suspected trait, in milliseconds, by trait
     */
    public record Observations(List<TargetCrash> crashes, Map<RequestTrait, Long> generatedAt) {

        /** Nothing observed. */
        public static final Observations NONE = new Observations(List.of(), Map.of());

        /** Copies the collections. */
        public Observations {
            crashes = List.copyOf(crashes);
            generatedAt = Map.copyOf(generatedAt);
        }

        /**
         * Indicates whether there is nothing to exchange.
         *
         * @return whether both collections are empty
         */
        public boolean isEmpty() {
            return crashes.isEmpty() && generatedAt.isEmpty();
        }
    }

    /** Observations that are still to be reported to some of the other gateways. */
    public final class PendingReport {

        private final Set<TargetIncarnation> changedCrashes = new LinkedHashSet<>();

        private final Set<RequestTrait> changedTraits = new LinkedHashSet<>();

        private PendingReport() {}

        /**
         * Returns what was observed since the previous call.
         *
         * @return the observations
         */
        public Observations takeChanges() {
            if (changedCrashes.isEmpty() && changedTraits.isEmpty()) {
                return Observations.NONE;
            }
            List<TargetCrash> changed = changedCrashes.stream()
                    .filter(crashes::containsKey)
                    .map(crashes::get)
                    .toList();
            Observations taken = new Observations(changed, generatedOn(changedTraits));
            changedCrashes.clear();
            changedTraits.clear();
            return taken;
        }

        /**
         * Returns everything that may matter to others, also what they have reported, so that lost reports are corrected
         * and gateways that start learn of the quarantine.
         *
         * @param now current time, in milliseconds
         * @return the observations
         */
        public Observations takeAll(long now) {
            assessIfDue(now);
            changedCrashes.clear();
            changedTraits.clear();
            List<TargetCrash> reported = crashes.values().stream()
                    .filter(crash -> crash.state() == State.ATTRIBUTED || crash.at() > now - CONCLUSION_MS)
                    .toList();
            return new Observations(reported, generatedOn(suspects(reported)));
        }
    }

    /**
     * Why a trait is in quarantine, and for how long.
     *
     * @param until time at which too few of the crashes that it caused are recent enough, in milliseconds
     * @param firstConclusiveAt time at which enough crashes had shown that it ends targets, in milliseconds
     * @param lastCrashAt time of the last crash that it explains, in milliseconds
     * @param certain whether the crashes cannot be a single loss of several targets
     */
    private record Verdict(long until, long firstConclusiveAt, long lastCrashAt, boolean certain) {}

    /**
     * Creates an empty quarantine.
     *
     * @param durationMillis time for which a crash keeps the trait that caused it in quarantine, in milliseconds
     * @param observer is told of changes
     */
    public RequestQuarantine(long durationMillis, Observer observer) {
        this.durationMillis = durationMillis;
        this.observer = observer;
    }

    /**
     * Creates a report of what is observed from now on.
     *
     * @return the report, empty at first
     */
    public PendingReport newReport() {
        PendingReport report = new PendingReport();
        pendingReports.add(report);
        return report;
    }

    /**
     * Records that the connection of a request ended before the target had answered it, or soon after it had begun to.
     *
     * @param target the target that closed the connection
     * @param traits traits of the request
     * @param now current time, in milliseconds
     */
    public void recordCrash(TargetIncarnation target, List<RequestTrait> traits, long now) {
        if (!traits.isEmpty()) {
            addCrash(new TargetCrash(target, now, traits, State.UNEXPLAINED), now);
            pendingReports.forEach(report -> report.changedCrashes.add(target));
        }
    }

    /**
     * Adds a crash, or its suspects to those known. If this is news, reports to the other gateways what is known of the
     * suspects.
     *
     * @param crash the crash
     * @param now current time, in milliseconds
     */
    private void addCrash(TargetCrash crash, long now) {
        TargetCrash known = crashes.get(crash.incarnation());
        TargetCrash merged = known == null ? crash : known.merge(crash);
        if (merged.equals(known)) {
            return;
        }
        crashes.put(crash.incarnation(), merged);
        if (crashes.size() > MAX_CRASHES) {
            crashes.remove(crashes.keySet().iterator().next());
        }
        pendingReports.forEach(report -> report.changedTraits.addAll(crash.suspects()));
        assessBy(Math.max(now, merged.at() + SETTLING_MS));
    }

    /**
     * Records that a target has sent something. One that is presumed to have crashed has not if it answers before it can
     * have restarted.
     *
     * @param target the target
     * @param now current time, in milliseconds
     */
    public void recordActivity(TargetIncarnation target, long now) {
        TargetCrash crash = crashes.isEmpty() ? null : crashes.get(target);
        if (crash == null || crash.state() == State.REFUTED || !crash.isRefutedBy(now)) {
            return;
        }
        crashes.put(target, crash.refute(now));
        pendingReports.forEach(report -> report.changedCrashes.add(target));
        assessBy(now);
    }

    /**
     * Records that a target has generated a response, or a good part of it, on some traits.
     *
     * @param traits traits of the request
     * @param now current time, in milliseconds
     */
    public void recordGeneration(List<RequestTrait> traits, long now) {
        traits.forEach(trait -> recordGeneration(trait, now));
    }

    private void recordGeneration(RequestTrait trait, long at) {
        generatedAt.merge(trait, at, Math::max);
        if (quarantined.containsKey(trait)) {
            pendingReports.forEach(report -> report.changedTraits.add(trait));
            assessBy(at);
        }
    }

    /**
     * Applies what another gateway has observed.
     *
     * @param observations the observations, with times of this gateway's clock
     * @param now current time, in milliseconds
     */
    public void apply(Observations observations, long now) {
        observations.generatedAt().forEach(this::recordGeneration);
        observations.crashes().stream()
                .filter(crash -> crash.at() > now - durationMillis)
                .forEach(crash -> addCrash(crash, now));
    }

    /**
     * Returns what is worth being recorded outside of the gateways: the crashes of traits that end targets or may turn out
     * to with the next crash, without their other suspects, and what has cleared evidence that was recorded before.
     *
     * @param recorded the evidence that was recorded before
     * @param now current time, in milliseconds
     * @return the evidence
     */
    public Observations evidence(Observations recorded, long now) {
        if (crashes.isEmpty() && recorded.isEmpty()) {
            return Observations.NONE;
        }
        assessIfDue(now);
        List<TargetCrash> settled = settled(now);
        Set<RequestTrait> accused = CrashAttribution.nearlyConclusive(settled, generatedOn(suspects(settled)));
        accused.addAll(quarantined.keySet());
        List<TargetCrash> evidence = new ArrayList<>();
        settled.forEach(crash -> crash.retain(accused).ifPresent(evidence::add));
        recorded.crashes().stream()
                .map(crash -> crashes.get(crash.incarnation()))
                .filter(crash -> crash != null && crash.state() == State.REFUTED)
                .forEach(evidence::add);
        accused.addAll(suspects(recorded.crashes()));
        return new Observations(evidence, generatedOn(accused));
    }

    /**
     * Returns the first trait that keeps a request from all targets.
     *
     * @param traits traits of the request
     * @param now current time, in milliseconds
     * @return the trait, empty if none is in quarantine
     */
    public Optional<Entry> find(List<RequestTrait> traits, long now) {
        assessIfDue(now);
        if (quarantined.isEmpty()) {
            return Optional.empty();
        }
        for (RequestTrait trait : traits) {
            Verdict verdict = quarantined.get(trait);
            if (verdict != null && verdict.until() > now) {
                return Optional.of(new Entry(trait, verdict.until()));
            }
        }
        return Optional.empty();
    }

    /**
     * Indicates whether a request in quarantine may be sent once all the same. Its response shows that the request is sound
     * after all; otherwise a further crash confirms the quarantine.
     *
     * @param trait the trait that keeps the request from all targets
     * @param now current time, in milliseconds
     * @return whether the request may be sent to one target; at most once for a quarantine, and at one gateway
     */
    public boolean beginTrial(RequestTrait trait, long now) {
        Verdict verdict = quarantined.get(trait);
        if (verdict == null) {
            return false;
        }
        boolean due = !verdict.certain() || trials.isDue(verdict.firstConclusiveAt(), verdict.lastCrashAt(), now);
        return due && trials.begin(trait);
    }

    /**
     * Sets the gateways among which trials are shared out.
     *
     * @param gateways names of all gateways, the same at each of them
     * @param self name of this gateway
     */
    public void setGateways(Collection<String> gateways, String self) {
        trials.setGateways(gateways, self);
    }

    /**
     * Returns the number of traits in quarantine.
     *
     * @return the number as of the last assessment
     */
    public int size() {
        return quarantined.size();
    }

    private void assessBy(long time) {
        assessAt = Math.min(assessAt, time);
    }

    private void assessIfDue(long now) {
        if (now >= assessAt) {
            assess(now);
        }
    }

    /**
     * Determines anew which traits are in quarantine.
     *
     * @param now current time, in milliseconds
     */
    private void assess(long now) {
        crashes.values().removeIf(crash -> crash.at() <= now - expiryMillis(crash));
        List<TargetCrash> settled = settled(now);
        Map<RequestTrait, List<TargetCrash>> causes =
                CrashAttribution.attribute(settled, generatedOn(suspects(settled)));
        Map<RequestTrait, Verdict> next = new HashMap<>();
        causes.forEach((trait, explained) -> {
            int required = CrashAttribution.requiredCrashes(trait, generatedAt.containsKey(trait));
            int count = explained.size();
            next.put(
                    trait,
                    new Verdict(
                            explained.get(count - required).at() + durationMillis,
                            explained.get(required - 1).at(),
                            explained.get(count - 1).at(),
                            CrashAttribution.independentCrashes(explained) >= required));
        });
        retainLatest(causes, now);
        reportChanges(causes, next.keySet());
        quarantined = Map.copyOf(next);
        trials.retain(quarantined.keySet());
        assessAt = crashes.isEmpty() ? Long.MAX_VALUE : now + EXPIRY_CHECK_MS;
        crashes.values().stream()
                .mapToLong(crash -> crash.at() + SETTLING_MS)
                .filter(settledAt -> settledAt > now)
                .forEach(this::assessBy);
    }

    private List<TargetCrash> settled(long now) {
        return crashes.values().stream()
                .filter(crash -> crash.state() != State.REFUTED && crash.at() <= now - SETTLING_MS)
                .sorted(Comparator.comparingLong(TargetCrash::at))
                .toList();
    }

    private long expiryMillis(TargetCrash crash) {
        return crash.state() == State.ATTRIBUTED ? durationMillis : UNEXPLAINED_EXPIRY_MS;
    }

    /**
     * Forgets the other suspects of crashes whose causes are known for some time, and all but the latest crashes of each
     * cause.
     *
     * @param causes the traits that end targets, each with the crashes that it explains, the oldest first
     * @param now current time, in milliseconds
     */
    private void retainLatest(Map<RequestTrait, List<TargetCrash>> causes, long now) {
        Map<TargetCrash, List<RequestTrait>> retained = new LinkedHashMap<>();
        causes.forEach((trait, explained) -> {
            int superfluous = Math.max(0, explained.size() - CRASHES_PER_TRAIT);
            explained.subList(superfluous, explained.size()).forEach(crash -> retained.computeIfAbsent(
                            crash, added -> new ArrayList<>())
                    .add(trait));
        });
        causes.values().stream()
                .flatMap(List::stream)
                .filter(crash -> !retained.containsKey(crash))
                .forEach(crash -> crashes.remove(crash.incarnation()));
        retained.forEach((crash, traits) -> {
            if (crash.at() <= now - CONCLUSION_MS) {
                crashes.put(crash.incarnation(), crash.attributeTo(traits));
            }
        });
    }

    private void reportChanges(Map<RequestTrait, List<TargetCrash>> causes, Set<RequestTrait> next) {
        causes.forEach((trait, explained) -> {
            if (!quarantined.containsKey(trait)) {
                observer.onQuarantined(trait, explained);
            }
        });
        quarantined.keySet().stream().filter(trait -> !next.contains(trait)).forEach(observer::onReleased);
    }

    private static Set<RequestTrait> suspects(Collection<TargetCrash> suspected) {
        Set<RequestTrait> suspects = new HashSet<>();
        suspected.forEach(crash -> suspects.addAll(crash.suspects()));
        return suspects;
    }

    /**
     * Returns when a response was last generated on some traits.
     *
     * @param traits the traits
     * @return the time by trait, in milliseconds; traits on which none is known are missing
     */
    private Map<RequestTrait, Long> generatedOn(Collection<RequestTrait> traits) {
        Map<RequestTrait, Long> generated = new HashMap<>();
        for (RequestTrait trait : traits) {
            Long at = generatedAt.get(trait);
            if (at != null) {
                generated.put(trait, at);
            }
        }
        return generated;
    }
}
