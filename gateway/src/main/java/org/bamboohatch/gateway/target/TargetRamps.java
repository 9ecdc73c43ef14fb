package org.bamboohatch.gateway.target;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;
import java.util.function.UnaryOperator;

import org.bamboohatch.kernel.id.TargetIncarnation;
import org.bamboohatch.routing.retry.ConcurrencyRamp;

/**
 * The targets whose concurrent requests are limited because they have just started, recovered or become warm. Each gateway
 * knows by itself when a target has done so; what gateways report to each other is how the limit has changed since.
 * Confined to the callers' event loop.
 */
public final class TargetRamps {

    /** Time for which a ramp that has ended is reported, as reports may be lost, in milliseconds. */
    private static final long END_REPEAT_MS = 10_000;

    private final Observer observer;

    private final Map<TargetIncarnation, Entry> entries = new LinkedHashMap<>();

    /** Number of placements that left out a target because of its limit. */
    private long heldOff;

    private final List<PendingReport> pendingReports = new ArrayList<>();

    /**
     * Ramp of a target.
     *
     * @param ramp the limit
     * @param slots number of requests that the target processes concurrently
     * @param begunAt time at which it began, in milliseconds
     * @param endedAt time at which it ended, in milliseconds; {@link Long#MAX_VALUE} while it lasts
     */
    private record Entry(ConcurrencyRamp ramp, int slots, long begunAt, long endedAt) {

        boolean lasts() {
            return endedAt == Long.MAX_VALUE;
        }
    }

    /** Is told of ramps that begin and end. */
    public interface Observer {

        /**
         * Invoked when the concurrent requests of a target begin to be limited.
         *
         * @param target the target
         * @param limit the first limit
         */
        void onBegin(TargetIncarnation target, int limit);

        /**
         * Invoked when the concurrent requests of a target are limited no longer.
         *
         * @param target the target
         * @param limit the last limit
         * @param tookMillis time since its begin, in milliseconds
         */
        void onEnd(TargetIncarnation target, int limit, long tookMillis);

        /** Ignores what it is told. */
        enum Disabled implements Observer {
            /** The only instance. */
            INSTANCE;

            @Override
            public void onBegin(TargetIncarnation target, int limit) {
                // Ignored.
            }

            @Override
            public void onEnd(TargetIncarnation target, int limit, long tookMillis) {
                // Ignored.
            }
        }
    }

    /**
     * The limit of a target, as gateways report it to each other.
     *
     * @param target the target
     * @param ramp the limit
     */
    public record Statement(TargetIncarnation target, ConcurrencyRamp ramp) {}

    /** Limits that changed and are still to be reported to some of the other gateways. */
    public final class PendingReport {

        private final Set<TargetIncarnation> changed = new LinkedHashSet<>();

        private PendingReport() {}

        /**
         * Returns the limits that changed since the previous call.
         *
         * @return the limits of the targets concerned
         */
        public List<Statement> takeChanges() {
            if (changed.isEmpty()) {
                return List.of();
            }
            List<Statement> taken = changed.stream()
                    .filter(entries::containsKey)
                    .map(target -> new Statement(target, entries.get(target).ramp()))
                    .toList();
            changed.clear();
            return taken;
        }

        /**
         * Returns the limits of all ramps, and of those that have ended lately.
         *
         * @param now current time, in milliseconds
         * @return the limits of the targets concerned
         */
        public List<Statement> takeAll(long now) {
            changed.clear();
            expire(now);
            return entries.entrySet().stream()
                    .map(entry -> new Statement(entry.getKey(), entry.getValue().ramp()))
                    .toList();
        }
    }

    /**
     * Creates a set without targets.
     *
     * @param observer is told of ramps that begin and end
     */
    public TargetRamps(Observer observer) {
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
     * Begins the ramp of a target. Has no effect while one lasts.
     *
     * @param target the target
     * @param slots number of requests that it processes concurrently
     * @param now current time, in milliseconds
     */
    public void begin(TargetIncarnation target, int slots, long now) {
        Entry known = entries.get(target);
        ConcurrencyRamp ramp = ConcurrencyRamp.begin(now);
        if (known != null && known.lasts() || ramp.isOver(slots, now)) {
            return;
        }
        entries.put(target, new Entry(ramp, slots, now, Long.MAX_VALUE));
        observer.onBegin(target, ramp.limit());
    }

    /**
     * Ends ramps without a result.
     *
     * @param targets the targets concerned
     * @param begunSince earliest begin of the ramps concerned, in milliseconds
     * @param now current time, in milliseconds
     */
    public void cancel(Predicate<TargetIncarnation> targets, long begunSince, long now) {
        if (entries.isEmpty()) {
            return;
        }
        entries.entrySet().removeIf(entry -> {
            Entry each = entry.getValue();
            boolean cancelled = each.lasts() && each.begunAt() >= begunSince && targets.test(entry.getKey());
            if (cancelled) {
                observer.onEnd(entry.getKey(), each.ramp().limit(), now - each.begunAt());
            }
            return cancelled;
        });
    }

    /**
     * Ends the ramps that are no longer needed, and forgets those that ended some time ago.
     *
     * @param now current time, in milliseconds
     */
    public void expire(long now) {
        if (!entries.isEmpty()) {
            entries.replaceAll((target, entry) -> endIfOver(target, entry, now));
            entries.values().removeIf(entry -> !entry.lasts() && now - entry.endedAt() > END_REPEAT_MS);
        }
    }

    private Entry endIfOver(TargetIncarnation target, Entry entry, long now) {
        if (!entry.lasts() || !entry.ramp().isOver(entry.slots(), now)) {
            return entry;
        }
        observer.onEnd(target, entry.ramp().limit(), now - entry.begunAt());
        return new Entry(entry.ramp(), entry.slots(), entry.begunAt(), now);
    }

    /**
     * Indicates whether no target is on a ramp or was lately.
     *
     * @return whether nothing is limited
     */
    public boolean isEmpty() {
        return entries.isEmpty();
    }

    /**
     * Indicates whether the concurrent requests of a target are limited.
     *
     * @param target the target
     * @return whether its ramp lasts
     */
    public boolean lasts(TargetIncarnation target) {
        Entry entry = entries.get(target);
        return entry != null && entry.lasts();
    }

    /**
     * Indicates whether a target is left out because its requests have reached its limit, and records that the limit is
     * needed if so.
     *
     * @param target the target
     * @param runs known number of its requests
     * @param now current time, in milliseconds
     * @return whether it may not be sent another request
     */
    public boolean holdOff(TargetIncarnation target, int runs, long now) {
        Entry entry = entries.isEmpty() ? null : entries.get(target);
        if (entry == null || !entry.lasts() || !entry.ramp().holdsOff(runs)) {
            return false;
        }
        heldOff++;
        entries.put(target, new Entry(entry.ramp().afterHoldOff(now), entry.slots(), entry.begunAt(), entry.endedAt()));
        return true;
    }

    /**
     * Records the first event of a response, or the response of a plain service.
     *
     * @param target the target
     * @param sentAt time at which the request was sent, in milliseconds
     * @param inTime whether the response is as early as that of a target at its full speed
     * @param now current time, in milliseconds
     */
    public void recordResponse(TargetIncarnation target, long sentAt, boolean inTime, long now) {
        update(target, now, ramp -> inTime ? ramp.afterSuccess(sentAt, now) : ramp.afterFailure(sentAt, now));
    }

    /**
     * Records a failure of a target.
     *
     * @param target the target
     * @param now current time, in milliseconds
     */
    public void recordFailure(TargetIncarnation target, long now) {
        update(
                target,
                now,
                ramp -> ramp.decreasedAt() != Long.MIN_VALUE
                                && now - ramp.decreasedAt() <= ConcurrencyRamp.SAME_FAILURE_MS
                        ? ramp
                        : ramp.afterFailure(now, now));
    }

    private void update(TargetIncarnation target, long now, UnaryOperator<ConcurrencyRamp> change) {
        Entry entry = entries.isEmpty() ? null : entries.get(target);
        if (entry == null || !entry.lasts()) {
            return;
        }
        ConcurrencyRamp changed = change.apply(entry.ramp());
        if (!changed.equals(entry.ramp())) {
            Entry next = new Entry(changed, entry.slots(), entry.begunAt(), entry.endedAt());
            entries.put(target, endIfOver(target, next, now));
            pendingReports.forEach(report -> report.changed.add(target));
        }
    }

    /**
     * Applies what another gateway has learned of a target whose ramp lasts here. A report begins no ramp.
     *
     * @param statement the limit, with times of this gateway's clock
     * @param now current time, in milliseconds
     */
    public void apply(Statement statement, long now) {
        entries.computeIfPresent(statement.target(), (target, entry) -> {
            if (!entry.lasts()) {
                return entry;
            }
            ConcurrencyRamp merged = entry.ramp().merge(statement.ramp());
            return endIfOver(target, new Entry(merged, entry.slots(), entry.begunAt(), entry.endedAt()), now);
        });
    }

    /**
     * Returns the number of placements that left out a target because of its limit.
     *
     * @return the number since the start of the process
     */
    public long heldOff() {
        return heldOff;
    }

    /**
     * Returns the number of targets whose concurrent requests are limited.
     *
     * @return the number as of the last placement
     */
    public int size() {
        return (int) entries.values().stream().filter(Entry::lasts).count();
    }
}
