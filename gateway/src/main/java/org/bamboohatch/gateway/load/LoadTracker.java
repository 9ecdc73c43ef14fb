package org.bamboohatch.gateway.load;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.bamboohatch.kernel.id.TargetName;
import org.bamboohatch.routing.fleet.Workload;

/**
 * Tracks the load of targets: this gateway's own requests and those that other gateways have reported. Confined to the
 * callers' event loop.
 */
public final class LoadTracker {

    /** Age from which a report of another gateway is ignored, in milliseconds. */
    private static final long REPORT_EXPIRY_MS = 3_000;

    private final Map<TargetName, Set<TrackedRequest>> localRequests = new HashMap<>();

    /** The latest reports of other gateways, by target and gateway. Most gateways have no load at most targets. */
    private final Map<TargetName, Map<String, ReceivedReport>> remoteReports = new HashMap<>();

    /** Time at which each target is expected to complete the prefill of all gateways' requests, in milliseconds. */
    private final Map<TargetName, Double> prefillDoneAt = new HashMap<>();

    /** The changes that are still to be reported, one for each group of gateways. */
    private final List<PendingReport> pendingReports = new ArrayList<>();

    private final ExchangeTrigger trigger = new ExchangeTrigger();

    /**
     * Load that another gateway has reported for one target.
     *
     * @param workload the load, without pending prefill
     * @param receivedAt time of arrival, in milliseconds
     */
    private record ReceivedReport(Workload workload, long receivedAt) {}

    /** Creates a tracker without load. */
    public LoadTracker() {}

    /**
     * Returns the trigger of the exchange that reports the load.
     *
     * @return the trigger, which belongs to all exchanged state
     */
    public ExchangeTrigger trigger() {
        return trigger;
    }

    /** The changes of this gateway's load that are still to be reported to some of the other gateways. */
    public final class PendingReport {

        /** Targets whose load changed since the last report. */
        private final Set<TargetName> changed = new HashSet<>();

        /** Prefill time that this gateway has added to each target since the last report, in milliseconds. */
        private final Map<TargetName, Double> prefillMillis = new HashMap<>();

        private PendingReport() {}

        /**
         * Indicates whether any load changed since the last report.
         *
         * @return whether there are changes to report
         */
        public boolean hasChanges() {
            return !changed.isEmpty();
        }

        /**
         * Returns the load at the targets where it changed since the previous call.
         *
         * @return the load by target; the prefill time is what was added since the previous call
         */
        public Map<TargetName, Workload> takeChanges() {
            return take(changed);
        }

        /**
         * Returns the load at all targets that have any, and where it changed since the previous call.
         *
         * @return the load by target; the prefill time is what was added since the previous call
         */
        public Map<TargetName, Workload> takeAll() {
            Set<TargetName> all = new HashSet<>(localRequests.keySet());
            all.addAll(changed);
            return take(all);
        }

        private Map<TargetName, Workload> take(Set<TargetName> targets) {
            Map<TargetName, Workload> workloads = new HashMap<>();
            targets.forEach(target -> workloads.put(
                    target, localLoad(target).withPrefillMillis(prefillMillis.getOrDefault(target, 0.0))));
            changed.clear();
            prefillMillis.clear();
            return workloads;
        }
    }

    /**
     * Creates a report of the changes from now on.
     *
     * @return the report, empty until the load changes
     */
    public PendingReport newReport() {
        PendingReport report = new PendingReport();
        pendingReports.add(report);
        return report;
    }

    private void markChanged(TargetName target) {
        pendingReports.forEach(report -> report.changed.add(target));
        trigger.reportSoon();
    }

    /** A request of this gateway at one target, until it ends. */
    public final class TrackedRequest {

        private final TargetName target;

        /** Prompt tokens that the target prefills. */
        private final long promptTokens;

        /** Memory that the request occupies at the target, in tokens. */
        private final double reservedTokens;

        /** Whether the response has a strict inter-token latency target. */
        private final boolean strictLatency;

        /** Whether the target decodes the response; otherwise it prefills for another target. */
        private final boolean decodes;

        /** Whether decoding has begun. */
        private boolean decoding;

        private TrackedRequest(
                TargetName target, long promptTokens, double reservedTokens, boolean strictLatency, boolean decodes) {
            this.target = target;
            this.promptTokens = promptTokens;
            this.reservedTokens = reservedTokens;
            this.strictLatency = strictLatency;
            this.decodes = decodes;
        }

        /** Records that the response has begun. */
        public void beginDecoding() {
            decoding = true;
            markChanged(target);
        }

        /** Removes the request from the load. Has no effect if it was removed already. */
        public void end() {
            Set<TrackedRequest> requests = localRequests.get(target);
            if (requests != null && requests.remove(this)) {
                markChanged(target);
                if (requests.isEmpty()) {
                    localRequests.remove(target);
                }
            }
        }

        /**
         * Returns the load of the request.
         *
         * @return the load, without pending prefill
         */
        private Workload workload() {
            int sequences = decodes ? 1 : 0;
            return new Workload(
                    sequences,
                    decoding ? sequences : 0,
                    strictLatency ? sequences : 0,
                    decoding ? promptTokens : 0,
                    0,
                    reservedTokens);
        }
    }

    /**
     * Adds a request to the load of a target.
     *
     * @param target name of the target
     * @param promptTokens prompt tokens that the target prefills
     * @param reservedTokens memory that the request occupies at the target, in tokens
     * @param strictLatency whether the response has a strict inter-token latency target
     * @param decodes whether the target decodes the response; otherwise it prefills for another target
     * @param prefillMillis time that the target needs for the prefill, in milliseconds
     * @param now current time, in milliseconds
     * @return the tracked request, which the caller must end
     */
    public TrackedRequest add(
            TargetName target,
            long promptTokens,
            double reservedTokens,
            boolean strictLatency,
            boolean decodes,
            double prefillMillis,
            long now) {
        TrackedRequest request = new TrackedRequest(target, promptTokens, reservedTokens, strictLatency, decodes);
        addPrefill(target, prefillMillis, now);
        pendingReports.forEach(report -> report.prefillMillis.merge(target, prefillMillis, Double::sum));
        localRequests.computeIfAbsent(target, added -> new HashSet<>()).add(request);
        markChanged(target);
        return request;
    }

    /**
     * Adds prefill work of any gateway to a target. A target prefills without interruption, in whatever order, so the time
     * at which it is done follows from the sum.
     *
     * @param target name of the target
     * @param prefillMillis time that the target needs for the prefill, in milliseconds
     * @param now current time, in milliseconds
     */
    private void addPrefill(TargetName target, double prefillMillis, long now) {
        prefillDoneAt.merge(target, now + prefillMillis, (doneAt, ignored) -> Math.max(doneAt, now) + prefillMillis);
    }

    /**
     * Returns the load of a target over all gateways.
     *
     * @param target name of the target
     * @param now current time, in milliseconds
     * @return the load, with the prefill time that is still pending
     */
    public Workload load(TargetName target, long now) {
        Workload sum = localLoad(target);
        for (ReceivedReport report :
                remoteReports.getOrDefault(target, Map.of()).values()) {
            if (now - report.receivedAt() < REPORT_EXPIRY_MS) {
                sum = sum.plus(report.workload());
            }
        }
        return sum.withPrefillMillis(Math.max(0, prefillDoneAt.getOrDefault(target, 0.0) - now));
    }

    /**
     * Returns the load of this gateway's own requests at a target.
     *
     * @param target name of the target
     * @return the load, without pending prefill
     */
    private Workload localLoad(TargetName target) {
        Workload sum = Workload.NONE;
        for (TrackedRequest request : localRequests.getOrDefault(target, Set.of())) {
            sum = sum.plus(request.workload());
        }
        return sum;
    }

    /**
     * Applies a load report of another gateway. What it has reported of other targets remains until it expires.
     *
     * @param gateway name of the reporting gateway
     * @param workloads its load by target; the prefill time is what it has added there since its previous report
     * @param now current time, in milliseconds
     */
    public void applyReport(String gateway, Map<TargetName, Workload> workloads, long now) {
        workloads.forEach((target, load) -> {
            addPrefill(target, load.prefillMillis(), now);
            Workload lasting = load.withPrefillMillis(0);
            if (lasting.equals(Workload.NONE)) {
                removeReport(target, gateway);
            } else {
                remoteReports
                        .computeIfAbsent(target, added -> new HashMap<>())
                        .put(gateway, new ReceivedReport(lasting, now));
            }
        });
    }

    private void removeReport(TargetName target, String gateway) {
        remoteReports.computeIfPresent(target, (name, reports) -> {
            reports.remove(gateway);
            return reports.isEmpty() ? null : reports;
        });
    }

    /**
     * Removes what no longer has an effect: expired reports, and prefill that is done.
     *
     * @param now current time, in milliseconds
     */
    public void removeExpired(long now) {
        prefillDoneAt.values().removeIf(doneAt -> doneAt < now);
        remoteReports.values().forEach(reports -> reports.values()
                .removeIf(report -> now - report.receivedAt() >= REPORT_EXPIRY_MS));
        remoteReports.values().removeIf(Map::isEmpty);
    }
}
