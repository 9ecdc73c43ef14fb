package org.bamboohatch.gateway.load;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

import org.bamboohatch.kernel.id.TargetName;
import org.bamboohatch.routing.fleet.Workload;

/** Work at targets: this gateway's own and what other gateways have told; used on the thread of all callers only. */
public final class LoadTracker {

    /** Age after which another gateway's report counts no more, in milliseconds. */
    private static final long REPORT_LIFETIME_MS = 3_000;

    /** This gateway's requests by target. */
    private final Map<TargetName, Set<TrackedRequest>> own = new HashMap<>();

    /** What other gateways have told, by gateway and target. */
    private final Map<String, Map<TargetName, Report>> others = new HashMap<>();

    /** Time at which each target will have read all parts that any gateway has sent there. */
    private final Map<TargetName, Double> readUntil = new HashMap<>();

    /** Reading that this gateway has given to targets since its last report, in milliseconds. */
    private final Map<TargetName, Double> given = new HashMap<>();

    /** Targets whose work changed since the last report. */
    private final Set<TargetName> changed = new HashSet<>();

    /**
     * Work that another gateway has told.
     *
     * @param work the work
     * @param at time of the report
     */
    private record Report(Workload work, long at) {}

    /** Creates an empty book. */
    public LoadTracker() {}

    /** A request at a target. */
    public final class TrackedRequest {

        /** The target. */
        private final TargetName target;

        /** Prompt tokens that this target reads. */
        private final long promptTokens;

        /** Memory that the request needs, in tokens. */
        private final double heldTokens;

        /** Whether pauses of the answer must be short. */
        private final boolean shortPauses;

        /** Whether the target answers, rather than reads for another one. */
        private final boolean answers;

        /** Whether the answer is being written. */
        private boolean writing;

        /**
         * Creates a ticket.
         *
         * @param target the target
         * @param promptTokens prompt tokens that it reads
         * @param heldTokens memory that the request needs, in tokens
         * @param shortPauses whether pauses of the answer must be short
         * @param answers whether the target answers, rather than reads for another one
         */
        private TrackedRequest(
                TargetName target, long promptTokens, double heldTokens, boolean shortPauses, boolean answers) {
            this.target = target;
            this.promptTokens = promptTokens;
            this.heldTokens = heldTokens;
            this.shortPauses = shortPauses;
            this.answers = answers;
        }

        /** Takes note that the answer has begun. */
        public void beginWriting() {
            writing = true;
            changed.add(target);
        }

        /** Takes note that the request has ended. */
        public void end() {
            Set<TrackedRequest> tickets = own.get(target);
            if (tickets != null && tickets.remove(this)) {
                changed.add(target);
                if (tickets.isEmpty()) {
                    own.remove(target);
                }
            }
        }

        /**
         * Describes the request as work.
         *
         * @return the work, without what the target still has to read
         */
        private Workload work() {
            int writer = answers ? 1 : 0;
            return new Workload(
                    writer, writing ? writer : 0, shortPauses ? writer : 0, writing ? promptTokens : 0, 0, heldTokens);
        }
    }

    /**
     * Adds a request.
     *
     * @param target the target
     * @param promptTokens prompt tokens that it reads
     * @param heldTokens memory that the request needs, in tokens
     * @param shortPauses whether pauses of the answer must be short
     * @param answers whether the target answers, rather than reads for another one
     * @param readMillis time that the target needs to read the prompt, in milliseconds
     * @param now the present time
     * @return the request's ticket
     */
    public TrackedRequest add(
            TargetName target,
            long promptTokens,
            double heldTokens,
            boolean shortPauses,
            boolean answers,
            double readMillis,
            long now) {
        TrackedRequest ticket = new TrackedRequest(target, promptTokens, heldTokens, shortPauses, answers);
        read(target, readMillis, now);
        given.merge(target, readMillis, Double::sum);
        own.computeIfAbsent(target, added -> new HashSet<>()).add(ticket);
        changed.add(target);
        return ticket;
    }

    /**
     * Takes note of reading that was given to a target. A target reads all that it has without a break, in whatever
     * order, so what is left to read follows from the sum.
     *
     * @param target the target
     * @param millis time that the target needs for it, in milliseconds
     * @param now the present time
     */
    private void read(TargetName target, double millis, long now) {
        readUntil.merge(target, now + millis, (until, alone) -> Math.max(until, now) + millis);
    }

    /**
     * Adds up the work at a target.
     *
     * @param target the target
     * @param now the present time
     * @return the work that all gateways have there
     */
    public Workload load(TargetName target, long now) {
        Workload sum = own(target);
        for (Map<TargetName, Report> reports : others.values()) {
            Report report = reports.get(target);
            if (report != null && now - report.at() < REPORT_LIFETIME_MS) {
                sum = sum.plus(report.work());
            }
        }
        return sum.withPrefillMillis(Math.max(0, readUntil.getOrDefault(target, 0.0) - now));
    }

    /**
     * Adds up this gateway's own work at a target.
     *
     * @param target the target
     * @return the work, without what the target still has to read
     */
    private Workload own(TargetName target) {
        Workload sum = Workload.NONE;
        for (TrackedRequest ticket : own.getOrDefault(target, Set.of())) {
            sum = sum.plus(ticket.work());
        }
        return sum;
    }

    /**
     * Takes what another gateway tells.
     *
     * @param gateway the gateway
     * @param work its work by target; the time for reading is what it has given there since its last report
     * @param whole whether it has no work at targets that are not named
     * @param now the present time
     */
    public void report(String gateway, Map<TargetName, Workload> work, boolean whole, long now) {
        Map<TargetName, Report> reports = others.computeIfAbsent(gateway, added -> new HashMap<>());
        if (whole) {
            reports.clear();
        }
        work.forEach((target, load) -> {
            read(target, load.prefillMillis(), now);
            reports.put(target, new Report(load.withPrefillMillis(0), now));
        });
        readUntil.values().removeIf(until -> until < now);
    }

    /**
     * Lists this gateway's work for a report.
     *
     * @return the lists
     */
    public Drained drain() {
        Map<TargetName, Workload> changes = describe(changed);
        Set<TargetName> all = new HashSet<>(own.keySet());
        all.addAll(changed);
        Map<TargetName, Workload> whole = describe(all);
        changed.clear();
        given.clear();
        return new Drained(changes, whole);
    }

    /**
     * Describes work for a report.
     *
     * @param targets the targets
     * @return the work by target; the time for reading is what was given there since the last report
     */
    private Map<TargetName, Workload> describe(Set<TargetName> targets) {
        Map<TargetName, Workload> work = new HashMap<>();
        targets.forEach(target -> work.put(target, own(target).withPrefillMillis(given.getOrDefault(target, 0.0))));
        return work;
    }

    /**
     * This gateway's work for a report.
     *
     * @param changes what changed since the last report
     * @param whole all of it
     */
    public record Drained(Map<TargetName, Workload> changes, Map<TargetName, Workload> whole) {}

    /**
     * Tells whether there is something to report.
     *
     * @return whether any target's work changed since the last list
     */
    public boolean hasChanges() {
        return !changed.isEmpty();
    }
}
