package org.bamboohatch.gateway.quarantine;

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

import org.bamboohatch.kernel.id.PromptPartId;
import org.bamboohatch.kernel.id.TargetIncarnation;
import org.bamboohatch.kernel.log.DecisionLog;
import org.bamboohatch.kernel.log.DecisionLog.Category;
import org.bamboohatch.routing.quarantine.CrashAttribution;
import org.bamboohatch.routing.quarantine.EngineCrash;
import org.bamboohatch.routing.quarantine.EngineCrash.State;

/**
 * Keeps requests from engines if their prompts have a part that ends engines. What gateways observe of crashes and of
 * responses is combined, so all come to the same conclusion; it is withdrawn when a response refutes it. Confined to the
 * callers' event loop.
 */
public final class PromptQuarantine {

    /** Time after a crash before it counts, in milliseconds, in which others report on it and on its suspects. */
    static final long SETTLING_MS = 250;

    /** Age from which a crash without a known cause no longer counts, in milliseconds. */
    static final long UNEXPLAINED_EXPIRY_MS = 60_000;

    /** Age up to which all suspects of a crash are reported again and reconsidered, in milliseconds. */
    private static final long CONCLUSION_MS = 10_000;

    /** Interval at which the age of crashes is checked, in milliseconds. */
    private static final long EXPIRY_CHECK_MS = 1_000;

    /** Crashes that are remembered for each part in quarantine; enough to show the case to a gateway that starts. */
    private static final int CRASHES_PER_PART = CrashAttribution.requiredCrashes(true) + 2;

    /** Crashes that are remembered; beyond that the oldest one is forgotten. */
    private static final int MAX_CRASHES = 256;

    /** Parts of which the last response is remembered; beyond that the one least recently generated on is forgotten. */
    private static final int MAX_GENERATED_PARTS = 8_192;

    private final long durationMillis;

    private final DecisionLog log = new DecisionLog("quarantine");

    private final Map<TargetIncarnation, EngineCrash> crashes = new LinkedHashMap<>();

    /** Time at which a response was last generated on a part, in milliseconds, by part. */
    private final Map<PromptPartId, Long> generatedAt = new LinkedHashMap<>(16, 0.75f, true) {

        @Override
        protected boolean removeEldestEntry(Map.Entry<PromptPartId, Long> eldest) {
            return size() > MAX_GENERATED_PARTS;
        }
    };

    /** Time until which a part is in quarantine, in milliseconds, by part. */
    private Map<PromptPartId, Long> quarantined = Map.of();

    /** Time of the next assessment, in milliseconds. */
    private long assessAt = Long.MAX_VALUE;

    private final List<PendingReport> pendingReports = new ArrayList<>();

    /**
     * A part in quarantine.
     *
     * @param part the part
     * @param until time at which too few of the crashes that it caused are recent enough, in milliseconds
     */
    public record Entry(PromptPartId part, long until) {}

    /**
     * Observations that gateways exchange. Those of several gateways may be applied in any order and more than once.
     *
     * @param crashes crashes of engines
     * @param generatedAt time at which a response was last generated on a suspected part, in milliseconds, by part
     */
    public record Observations(List<EngineCrash> crashes, Map<PromptPartId, Long> generatedAt) {

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

        private final Set<PromptPartId> changedParts = new LinkedHashSet<>();

        private PendingReport() {}

        /**
         * Returns what was observed since the previous call.
         *
         * @return the observations
         */
        public Observations takeChanges() {
            if (changedCrashes.isEmpty() && changedParts.isEmpty()) {
                return Observations.NONE;
            }
            List<EngineCrash> changed = changedCrashes.stream()
                    .filter(crashes::containsKey)
                    .map(crashes::get)
                    .toList();
            Observations taken = new Observations(changed, generatedOn(changedParts));
            changedCrashes.clear();
            changedParts.clear();
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
            changedParts.clear();
            List<EngineCrash> reported = crashes.values().stream()
                    .filter(crash -> crash.state() == State.ATTRIBUTED || crash.at() > now - CONCLUSION_MS)
                    .toList();
            return new Observations(reported, generatedOn(suspects(reported)));
        }
    }

    /**
     * Creates an empty quarantine.
     *
     * @param durationMillis time for which a crash keeps the part that caused it in quarantine, in milliseconds
     */
    public PromptQuarantine(long durationMillis) {
        this.durationMillis = durationMillis;
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
     * Records that the connection of a request ended before the engine had answered it, or soon after it had begun to.
     *
     * @param engine the engine that closed the connection
     * @param promptParts shared parts of the prompt of the request
     * @param now current time, in milliseconds
     */
    public void recordCrash(TargetIncarnation engine, List<PromptPartId> promptParts, long now) {
        if (!promptParts.isEmpty()) {
            addCrash(new EngineCrash(engine, now, promptParts, State.UNEXPLAINED), now);
            pendingReports.forEach(report -> report.changedCrashes.add(engine));
        }
    }

    /**
     * Adds a crash, or its suspects to those known. If this is news, reports to the other gateways what is known of the
     * suspects.
     *
     * @param crash the crash
     * @param now current time, in milliseconds
     */
    private void addCrash(EngineCrash crash, long now) {
        EngineCrash known = crashes.get(crash.engine());
        EngineCrash merged = known == null ? crash : known.merge(crash);
        if (merged.equals(known)) {
            return;
        }
        crashes.put(crash.engine(), merged);
        if (crashes.size() > MAX_CRASHES) {
            crashes.remove(crashes.keySet().iterator().next());
        }
        pendingReports.forEach(report -> report.changedParts.addAll(crash.suspects()));
        assessBy(Math.max(now, merged.at() + SETTLING_MS));
    }

    /**
     * Records that an engine has sent something. One that is presumed to have crashed has not if it answers before it can
     * have restarted.
     *
     * @param engine the engine
     * @param now current time, in milliseconds
     */
    public void recordActivity(TargetIncarnation engine, long now) {
        EngineCrash crash = crashes.isEmpty() ? null : crashes.get(engine);
        if (crash == null || crash.state() == State.REFUTED || !crash.isRefutedBy(now)) {
            return;
        }
        crashes.put(engine, crash.refute());
        pendingReports.forEach(report -> report.changedCrashes.add(engine));
        assessBy(now);
    }

    /**
     * Records that an engine has generated a response, or a good part of it, on some prompt parts.
     *
     * @param promptParts shared parts of the prompt of the request
     * @param now current time, in milliseconds
     */
    public void recordGeneration(List<PromptPartId> promptParts, long now) {
        promptParts.forEach(part -> recordGeneration(part, now));
    }

    private void recordGeneration(PromptPartId part, long at) {
        generatedAt.merge(part, at, Math::max);
        if (quarantined.containsKey(part)) {
            pendingReports.forEach(report -> report.changedParts.add(part));
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
     * Returns the first part that keeps a request from all engines.
     *
     * @param promptParts shared parts of the prompt of the request
     * @param now current time, in milliseconds
     * @return the part, empty if none is in quarantine
     */
    public Optional<Entry> find(List<PromptPartId> promptParts, long now) {
        assessIfDue(now);
        if (quarantined.isEmpty()) {
            return Optional.empty();
        }
        return promptParts.stream()
                .filter(part -> quarantined.getOrDefault(part, 0L) > now)
                .findFirst()
                .map(part -> new Entry(part, quarantined.get(part)));
    }

    /**
     * Returns the number of parts in quarantine.
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
     * Determines anew which parts are in quarantine.
     *
     * @param now current time, in milliseconds
     */
    private void assess(long now) {
        crashes.values().removeIf(crash -> crash.at() <= now - expiryMillis(crash));
        List<EngineCrash> settled = crashes.values().stream()
                .filter(crash -> crash.state() != State.REFUTED && crash.at() <= now - SETTLING_MS)
                .sorted(Comparator.comparingLong(EngineCrash::at))
                .toList();
        Map<PromptPartId, List<EngineCrash>> causes =
                CrashAttribution.attribute(settled, generatedOn(suspects(settled)));
        Map<PromptPartId, Long> next = new HashMap<>();
        causes.forEach((part, explained) -> {
            int required = CrashAttribution.requiredCrashes(generatedAt.containsKey(part));
            next.put(part, explained.get(explained.size() - required).at() + durationMillis);
            retainLatest(part, explained, now);
        });
        logChanges(causes, next);
        quarantined = Map.copyOf(next);
        assessAt = crashes.isEmpty() ? Long.MAX_VALUE : now + EXPIRY_CHECK_MS;
        crashes.values().stream()
                .mapToLong(crash -> crash.at() + SETTLING_MS)
                .filter(settledAt -> settledAt > now)
                .forEach(this::assessBy);
    }

    private long expiryMillis(EngineCrash crash) {
        return crash.state() == State.ATTRIBUTED ? durationMillis : UNEXPLAINED_EXPIRY_MS;
    }

    /**
     * Forgets the other suspects of crashes whose cause is known for some time, and all but the latest of these crashes.
     *
     * @param cause the part that explains the crashes
     * @param explained the crashes, the oldest first
     * @param now current time, in milliseconds
     */
    private void retainLatest(PromptPartId cause, List<EngineCrash> explained, long now) {
        int superfluous = Math.max(0, explained.size() - CRASHES_PER_PART);
        explained.subList(0, superfluous).forEach(crash -> crashes.remove(crash.engine()));
        explained.subList(superfluous, explained.size()).stream()
                .filter(crash -> crash.at() <= now - CONCLUSION_MS)
                .forEach(crash -> crashes.put(crash.engine(), crash.attributeTo(cause)));
    }

    private void logChanges(Map<PromptPartId, List<EngineCrash>> causes, Map<PromptPartId, Long> next) {
        next.keySet().stream().filter(part -> !quarantined.containsKey(part)).forEach(part -> {
            List<EngineCrash> explained = causes.get(part);
            log.line(Category.STATE_CHANGE, "quarantined")
                    .with("promptPart", part)
                    .with("crashes", explained.size())
                    .with(
                            "engines",
                            explained.stream()
                                    .limit(CRASHES_PER_PART)
                                    .map(crash -> crash.engine().target())
                                    .toList())
                    .write();
        });
        quarantined.keySet().stream().filter(part -> !next.containsKey(part)).forEach(part -> log.line(
                        Category.STATE_CHANGE, "released")
                .with("promptPart", part)
                .write());
    }

    private static Set<PromptPartId> suspects(Collection<EngineCrash> suspected) {
        Set<PromptPartId> suspects = new HashSet<>();
        suspected.forEach(crash -> suspects.addAll(crash.suspects()));
        return suspects;
    }

    /**
     * Returns when a response was last generated on some parts.
     *
     * @param parts the parts
     * @return the time by part, in milliseconds; parts on which none is known are missing
     */
    private Map<PromptPartId, Long> generatedOn(Collection<PromptPartId> parts) {
        Map<PromptPartId, Long> generated = new HashMap<>();
        for (PromptPartId part : parts) {
            Long at = generatedAt.get(part);
            if (at != null) {
                generated.put(part, at);
            }
        }
        return generated;
    }
}
