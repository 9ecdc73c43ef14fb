package org.bamboohatch.gateway.load;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

import org.bamboohatch.kernel.id.TargetName;
import org.bamboohatch.routing.fleet.Workload;

/** Work at targets: this gateway's own and what other gateways have told; used on the thread of all callers only. */
public final class LoadBook {

    /** Age after which another gateway's report counts no more, in milliseconds. */
    private static final long REPORT_LIFETIME_MS = 3_000;

    /** Part of a prompt that is taken to be unread as long as its answer has not begun. */
    private static final double LATE_SHARE = 0.1;

    /** This gateway's requests by target. */
    private final Map<TargetName, Set<Ticket>> own = new HashMap<>();

    /** What other gateways have told, by gateway and target. */
    private final Map<String, Map<TargetName, Report>> others = new HashMap<>();

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
    public LoadBook() {}

    /** A request at a target. */
    public final class Ticket {

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

        /** Time that the target needs to read the prompt, in milliseconds. */
        private final double readMillis;

        /** Time at which the prompt will have been read as predicted. */
        private final double readUntil;

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
         * @param readMillis time that the target needs to read the prompt, in milliseconds
         * @param readUntil time at which the prompt will have been read as predicted
         */
        private Ticket(
                TargetName target,
                long promptTokens,
                double heldTokens,
                boolean shortPauses,
                boolean answers,
                double readMillis,
                double readUntil) {
            this.target = target;
            this.promptTokens = promptTokens;
            this.heldTokens = heldTokens;
            this.shortPauses = shortPauses;
            this.answers = answers;
            this.readMillis = readMillis;
            this.readUntil = readUntil;
        }

        /** Takes note that the answer has begun. */
        public void beginWriting() {
            writing = true;
            changed.add(target);
        }

        /** Takes note that the request has ended. */
        public void end() {
            Set<Ticket> tickets = own.get(target);
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
         * @param now the present time
         * @return the work
         */
        private Workload work(long now) {
            double reading = writing ? 0 : Math.max(readMillis * LATE_SHARE, Math.min(readMillis, readUntil - now));
            int writer = answers ? 1 : 0;
            return new Workload(
                    writer,
                    writing ? writer : 0,
                    shortPauses ? writer : 0,
                    writing ? promptTokens : 0,
                    reading,
                    heldTokens);
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
    public Ticket add(
            TargetName target,
            long promptTokens,
            double heldTokens,
            boolean shortPauses,
            boolean answers,
            double readMillis,
            long now) {
        double begins = now + load(target, now).readMillis();
        Ticket ticket =
                new Ticket(target, promptTokens, heldTokens, shortPauses, answers, readMillis, begins + readMillis);
        own.computeIfAbsent(target, added -> new HashSet<>()).add(ticket);
        changed.add(target);
        return ticket;
    }

    /**
     * Adds up the work at a target.
     *
     * @param target the target
     * @param now the present time
     * @return the work that all gateways have there
     */
    public Workload load(TargetName target, long now) {
        Workload sum = own(target, now);
        for (Map<TargetName, Report> reports : others.values()) {
            Report report = reports.get(target);
            if (report != null && now - report.at() < REPORT_LIFETIME_MS) {
                sum = sum.plus(report.work().after(now - report.at()));
            }
        }
        return sum;
    }

    /**
     * Adds up this gateway's own work at a target.
     *
     * @param target the target
     * @param now the present time
     * @return the work
     */
    public Workload own(TargetName target, long now) {
        Workload sum = Workload.NONE;
        for (Ticket ticket : own.getOrDefault(target, Set.of())) {
            sum = sum.plus(ticket.work(now));
        }
        return sum;
    }

    /**
     * Takes what another gateway tells.
     *
     * @param gateway the gateway
     * @param work its work by target
     * @param whole whether it has no work at targets that are not named
     * @param now the present time
     */
    public void report(String gateway, Map<TargetName, Workload> work, boolean whole, long now) {
        Map<TargetName, Report> reports = others.computeIfAbsent(gateway, added -> new HashMap<>());
        if (whole) {
            reports.clear();
        }
        work.forEach((target, load) -> reports.put(target, new Report(load, now)));
    }

    /**
     * Lists this gateway's work for a report.
     *
     * @param whole whether all of it is listed, or what changed since the last list
     * @param now the present time
     * @return the work by target
     */
    public Map<TargetName, Workload> drain(boolean whole, long now) {
        Map<TargetName, Workload> work = new HashMap<>();
        Set<TargetName> listed = whole ? own.keySet() : changed;
        listed.forEach(target -> work.put(target, own(target, now)));
        changed.clear();
        return work;
    }

    /**
     * Tells whether there is something to report.
     *
     * @return whether any target's work changed since the last list
     */
    public boolean hasChanges() {
        return !changed.isEmpty();
    }
}
