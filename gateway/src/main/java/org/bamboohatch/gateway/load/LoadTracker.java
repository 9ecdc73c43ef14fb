package org.bamboohatch.gateway.load;

import java.util.HashMap;
import java.util.HashSet;
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

    /** The latest reports of other gateways, by gateway and target. */
    private final Map<String, Map<TargetName, ReceivedReport>> remoteReports = new HashMap<>();

    /** Time at which each target is expected to complete the prefill of all gateways' requests, in milliseconds. */
    private final Map<TargetName, Double> prefillDoneAt = new HashMap<>();

    /** Prefill time that this gateway has added to each target since its last report, in milliseconds. */
    private final Map<TargetName, Double> unreportedPrefillMillis = new HashMap<>();

    /** Targets whose load changed since the last report. */
    private final Set<TargetName> changed = new HashSet<>();

    /**
     * Load that another gateway has reported for one target.
     *
     * @param workload the load, without pending prefill
     * @param receivedAt time of arrival, in milliseconds
     */
    private record ReceivedReport(Workload workload, long receivedAt) {}

    /** Creates a tracker without load. */
    public LoadTracker() {}

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
            changed.add(target);
        }

        /** Removes the request from the load. Has no effect if it was removed already. */
        public void end() {
            Set<TrackedRequest> requests = localRequests.get(target);
            if (requests != null && requests.remove(this)) {
                changed.add(target);
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
        unreportedPrefillMillis.merge(target, prefillMillis, Double::sum);
        localRequests.computeIfAbsent(target, added -> new HashSet<>()).add(request);
        changed.add(target);
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
        for (Map<TargetName, ReceivedReport> reports : remoteReports.values()) {
            ReceivedReport report = reports.get(target);
            if (report != null && now - report.receivedAt() < REPORT_EXPIRY_MS) {
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
     * Applies a load report of another gateway.
     *
     * @param gateway name of the reporting gateway
     * @param workloads its load by target; the prefill time is what it has added there since its previous report
     * @param complete whether the report covers all targets; otherwise targets that are not named are unchanged
     * @param now current time, in milliseconds
     */
    public void applyReport(String gateway, Map<TargetName, Workload> workloads, boolean complete, long now) {
        Map<TargetName, ReceivedReport> reports = remoteReports.computeIfAbsent(gateway, added -> new HashMap<>());
        if (complete) {
            reports.clear();
        }
        workloads.forEach((target, load) -> {
            addPrefill(target, load.prefillMillis(), now);
            reports.put(target, new ReceivedReport(load.withPrefillMillis(0), now));
        });
        prefillDoneAt.values().removeIf(doneAt -> doneAt < now);
    }

    /**
     * Returns this gateway's load for a report and marks all changes as reported.
     *
     * @return the load that changed since the previous call, and the complete load
     */
    public OutgoingReport takeReport() {
        Map<TargetName, Workload> changes = workloadsOf(changed);
        Set<TargetName> all = new HashSet<>(localRequests.keySet());
        all.addAll(changed);
        Map<TargetName, Workload> complete = workloadsOf(all);
        changed.clear();
        unreportedPrefillMillis.clear();
        return new OutgoingReport(changes, complete);
    }

    /**
     * Returns this gateway's load at some targets for a report.
     *
     * @param targets names of the targets
     * @return the load by target; the prefill time is what was added there since the last report
     */
    private Map<TargetName, Workload> workloadsOf(Set<TargetName> targets) {
        Map<TargetName, Workload> workloads = new HashMap<>();
        targets.forEach(target -> workloads.put(
                target, localLoad(target).withPrefillMillis(unreportedPrefillMillis.getOrDefault(target, 0.0))));
        return workloads;
    }

    /**
     * This gateway's load for a report. In both maps, the prefill time is what was added since the previous report.
     *
     * @param changes load at the targets where it changed since the previous report
     * @param complete load at all targets with load, and at those where it changed
     */
    public record OutgoingReport(Map<TargetName, Workload> changes, Map<TargetName, Workload> complete) {}

    /**
     * Indicates whether any load changed since the last report.
     *
     * @return whether there are changes to report
     */
    public boolean hasChanges() {
        return !changed.isEmpty();
    }
}
