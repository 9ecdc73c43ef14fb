package org.bamboohatch.gateway.target;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.bamboohatch.kernel.id.TargetIncarnation;
import org.bamboohatch.routing.retry.ColdPeriod;

/**
 * The cold times of targets, as far as their services limit the rate of cold targets. The latest statement of a target holds,
 * whichever way and through whichever gateway it came; without another one, the target is cold until its cold time is over.
 * Confined to the callers' event loop.
 */
public final class ColdTargets {

    /** Time for which the last statement of a target is remembered after its cold time, in milliseconds. */
    private static final long RETENTION_MS = 60_000;

    /** Time for which the end of a cold time is reported again, as reports may be lost, in milliseconds. */
    private static final long END_REPEAT_MS = 10_000;

    private final TargetLimits limits;

    private final Observer observer;

    /** Requests per second that a target takes while it is cold, for the targets whose services name a rate. */
    private Map<TargetIncarnation, Double> rates = Map.of();

    private final Map<TargetIncarnation, ColdPeriod> periods = new LinkedHashMap<>();

    /** The targets whose rate is limited now. */
    private final Set<TargetIncarnation> limited = new LinkedHashSet<>();

    /** Targets of limited services whose cold time has ended and that have not been taken. */
    private final Set<TargetIncarnation> ended = new LinkedHashSet<>();

    /** Number of placements that left out a cold target because this gateway's share was used. */
    private long heldOff;

    private final List<PendingReport> pendingReports = new ArrayList<>();

    /** Is told of targets that become cold or warm. */
    public interface Observer {

        /**
         * Invoked when the rate of a target begins to be limited.
         *
         * @param target the target
         * @param leftMillis time for which it is cold, in milliseconds
         * @param perSecond requests per second that it takes from all gateways together
         */
        void onCold(TargetIncarnation target, long leftMillis, double perSecond);

        /**
         * Invoked when the rate of a target that is still a member is limited no longer.
         *
         * @param target the target
         * @param now current time, in milliseconds
         */
        void onWarm(TargetIncarnation target, long now);

        /** Ignores what it is told. */
        enum Disabled implements Observer {
            /** The only instance. */
            INSTANCE;

            @Override
            public void onCold(TargetIncarnation target, long leftMillis, double perSecond) {
                // Ignored.
            }

            @Override
            public void onWarm(TargetIncarnation target, long now) {
                // Ignored.
            }
        }
    }

    /**
     * The last statement of a target, as gateways report it to each other.
     *
     * @param target the target
     * @param period its cold time
     */
    public record Statement(TargetIncarnation target, ColdPeriod period) {}

    /** Cold times that changed and are still to be reported to some of the other gateways. */
    public final class PendingReport {

        private final Set<TargetIncarnation> changed = new LinkedHashSet<>();

        private PendingReport() {}

        /**
         * Returns the cold times that changed since the previous call.
         *
         * @return the last statements of the targets concerned
         */
        public List<Statement> takeChanges() {
            if (changed.isEmpty()) {
                return List.of();
            }
            List<Statement> taken = changed.stream()
                    .filter(periods::containsKey)
                    .map(target -> new Statement(target, periods.get(target)))
                    .toList();
            changed.clear();
            return taken;
        }

        /**
         * Returns the cold times that last, and those that a target has ended lately.
         *
         * @param now current time, in milliseconds
         * @return the last statements of the targets concerned
         */
        public List<Statement> takeAll(long now) {
            changed.clear();
            periods.values().removeIf(period -> period.warmAt() <= now - RETENTION_MS);
            return periods.entrySet().stream()
                    .filter(entry ->
                            entry.getValue().isCold(now) || entry.getValue().statedAt() > now - END_REPEAT_MS)
                    .map(entry -> new Statement(entry.getKey(), entry.getValue()))
                    .toList();
        }
    }

    /**
     * Creates a set without targets.
     *
     * @param limits holds the rates of the cold targets
     * @param observer is told of targets that become cold or warm
     */
    public ColdTargets(TargetLimits limits, Observer observer) {
        this.limits = limits;
        this.observer = observer;
    }

    /**
     * Creates a report of what changes from now on.
     *
     * @return the report, empty at first
     */
    public PendingReport newReport() {
        PendingReport report = new PendingReport();
        pendingReports.add(report);
        return report;
    }

    /**
     * Replaces the rates of the known targets.
     *
     * @param next requests per second that each target takes from all gateways together while it is cold; without the targets
     *     of services that name no rate
     * @param now current time, in milliseconds
     */
    public void setRates(Map<TargetIncarnation, Double> next, long now) {
        if (next.equals(rates)) {
            return;
        }
        rates = Map.copyOf(next);
        if (rates.isEmpty()) {
            periods.clear();
        }
        List<TargetIncarnation> affected = new ArrayList<>(limited);
        affected.addAll(periods.keySet());
        affected.forEach(target -> update(target, now));
    }

    /**
     * Applies what a target has stated to this gateway or to control.
     *
     * @param target the target
     * @param statement its cold time
     * @param now current time, in milliseconds
     */
    public void record(TargetIncarnation target, ColdPeriod statement, long now) {
        boolean wasCold = isCold(target, now);
        long endedAt = periods.getOrDefault(target, ColdPeriod.NONE).endsAt();
        apply(new Statement(target, statement), now);
        boolean changed = periods.containsKey(target) && periods.get(target).endsAt() != endedAt;
        if (changed && (wasCold || isCold(target, now))) {
            pendingReports.forEach(report -> report.changed.add(target));
        }
    }

    /**
     * Applies a response in which a target says that it is not cold. It is ignored unless its request was sent after the last
     * statement, as it may be older than that: while a target becomes cold again, responses from before are on their way.
     *
     * @param target the target
     * @param requestSentAt time at which the request was sent, in milliseconds
     * @param now current time, in milliseconds
     */
    public void recordWarm(TargetIncarnation target, long requestSentAt, long now) {
        if (requestSentAt > periods.getOrDefault(target, ColdPeriod.NONE).statedAt()) {
            record(target, ColdPeriod.of(0, now), now);
        }
    }

    /**
     * Applies the last statement of a target as another gateway has heard it, unless this one has heard a later one.
     *
     * @param statement the statement, with times of this gateway's clock
     * @param now current time, in milliseconds
     */
    public void apply(Statement statement, long now) {
        TargetIncarnation target = statement.target();
        ColdPeriod known = periods.get(target);
        boolean newsWithoutEffect = known == null && !statement.period().isCold(now);
        if (rates.isEmpty() || newsWithoutEffect) {
            return;
        }
        periods.put(target, known == null ? statement.period() : known.after(statement.period()));
        update(target, now);
    }

    /**
     * Ends the cold times that are over.
     *
     * @param now current time, in milliseconds
     */
    public void expire(long now) {
        if (!limited.isEmpty()) {
            List.copyOf(limited).forEach(target -> update(target, now));
        }
    }

    private void update(TargetIncarnation target, long now) {
        ColdPeriod period = periods.getOrDefault(target, ColdPeriod.NONE);
        Double rate = rates.get(target);
        if (rate != null && period.isCold(now)) {
            limits.setColdRate(target, rate, period.endsAt(), now);
            if (limited.add(target)) {
                observer.onCold(target, period.endsAt() - now, rate);
            }
        } else if (limited.remove(target)) {
            limits.removeColdRate(target);
            if (rate != null) {
                ended.add(target);
                observer.onWarm(target, now);
            }
        }
    }

    /**
     * Returns the targets whose cold time has ended since the previous call.
     *
     * @return the targets, without those whose service names no rate any more
     */
    public List<TargetIncarnation> takeEnded() {
        if (ended.isEmpty()) {
            return List.of();
        }
        List<TargetIncarnation> taken =
                ended.stream().filter(rates::containsKey).toList();
        ended.clear();
        return taken;
    }

    /**
     * Indicates whether a target belongs to a service that names a rate of cold targets.
     *
     * @param target the target
     * @return whether it is a member of such a service
     */
    public boolean isLimitedService(TargetIncarnation target) {
        return rates.containsKey(target);
    }

    /**
     * Indicates whether a target is cold and its rate limited.
     *
     * @param target the target
     * @param now current time, in milliseconds
     * @return whether its cold time lasts
     */
    public boolean isCold(TargetIncarnation target, long now) {
        return limited.contains(target)
                && periods.getOrDefault(target, ColdPeriod.NONE).isCold(now);
    }

    /**
     * Counts a placement for which a cold target was left out, if it was because of its rate.
     *
     * @param target the target that was left out
     * @param now current time, in milliseconds
     */
    public void countIfHeldOff(TargetIncarnation target, long now) {
        if (!limited.isEmpty() && limits.coldSendAt(target, now) > now) {
            heldOff++;
        }
    }

    /**
     * Returns the number of placements for which a cold target was left out because of its rate.
     *
     * @return the number since the start of the process
     */
    public long heldOff() {
        return heldOff;
    }

    /**
     * Returns the number of targets whose rate is limited.
     *
     * @return the number as of the last placement
     */
    public int size() {
        return limited.size();
    }
}
