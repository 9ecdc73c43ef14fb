package org.bamboohatch.gateway.target;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.bamboohatch.kernel.id.TargetIncarnation;

/**
 * Pauses that targets have asked for, from this gateway or from another one. They are binding, also for probes, for targets
 * that are not announced at present, and when no other target is left. Confined to the callers' event loop.
 */
public final class TargetPauses {

    /** Longest pause that a target can ask for, in milliseconds; limits the effect of a nonsensical value. */
    static final long MAX_PAUSE_MS = 600_000;

    /** Time until which a target wants no requests, in milliseconds, by target. */
    private final Map<TargetIncarnation, Long> pausedUntil = new HashMap<>();

    private final List<PendingReport> pendingReports = new ArrayList<>();

    /** Pauses that are still to be reported to some of the other gateways. */
    public final class PendingReport {

        private final Set<TargetIncarnation> changed = new HashSet<>();

        private PendingReport() {}

        /**
         * Returns the pauses that this gateway was asked for since the previous call.
         *
         * @return the end of each pause, in milliseconds, by target
         */
        public Map<TargetIncarnation, Long> takeChanges() {
            if (changed.isEmpty()) {
                return Map.of();
            }
            Map<TargetIncarnation, Long> taken = new HashMap<>(pausedUntil);
            taken.keySet().retainAll(changed);
            changed.clear();
            return taken;
        }

        /**
         * Returns all pauses.
         *
         * @param now current time, in milliseconds
         * @return the end of each pause, in milliseconds, by target
         */
        public Map<TargetIncarnation, Long> takeAll(long now) {
            changed.clear();
            pausedUntil.values().removeIf(until -> until <= now);
            return Map.copyOf(pausedUntil);
        }
    }

    /** Creates an empty set. */
    public TargetPauses() {}

    /**
     * Creates a report of the pauses that are asked for from now on.
     *
     * @return the report, empty at first
     */
    public PendingReport newReport() {
        PendingReport report = new PendingReport();
        pendingReports.add(report);
        return report;
    }

    /**
     * Records that a target has asked this gateway for a pause. A shorter pause does not replace a longer one.
     *
     * @param target the target
     * @param millis duration of the pause, in milliseconds; at most ten minutes of it are granted
     * @param now current time, in milliseconds
     */
    public void add(TargetIncarnation target, long millis, long now) {
        addReported(target, now + Math.min(MAX_PAUSE_MS, Math.max(0, millis)), now);
        pendingReports.forEach(report -> report.changed.add(target));
    }

    /**
     * Adds a pause that another gateway has reported.
     *
     * @param target the target
     * @param until end of the pause, in milliseconds; at most ten minutes are granted
     * @param now current time, in milliseconds
     */
    public void addReported(TargetIncarnation target, long until, long now) {
        pausedUntil.merge(target, Math.min(until, now + MAX_PAUSE_MS), Math::max);
    }

    /**
     * Returns the end of a target's pause.
     *
     * @param target the target
     * @return the time in milliseconds, zero if it has not asked for a pause
     */
    public long pausedUntil(TargetIncarnation target) {
        return pausedUntil.isEmpty() ? 0 : pausedUntil.getOrDefault(target, 0L);
    }
}
