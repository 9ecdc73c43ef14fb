package org.bamboohatch.gateway.load;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.LongSupplier;
import java.util.stream.IntStream;

import org.bamboohatch.gateway.target.ColdTargets;
import org.bamboohatch.gateway.target.TargetLimits;
import org.bamboohatch.gateway.target.TargetRamps;
import org.bamboohatch.kernel.id.TargetIncarnation;
import org.bamboohatch.kernel.id.TargetName;
import org.bamboohatch.kernel.id.ZoneName;
import org.bamboohatch.routing.fleet.Workload;
import org.bamboohatch.routing.quarantine.RequestQuarantine.Observations;

/**
 * Content of a load report, which may need several datagrams.
 *
 * @param workloads the load by target
 * @param leaving targets that are about to end
 * @param observations crashes of targets and the traits of requests that are suspected of them
 * @param limits limits that targets have named
 * @param pauses the end of each pause that a target has asked for, in milliseconds, by target
 * @param cold cold times of targets
 * @param ramps limits of targets that have started
 * @param waiting the requests that wait at this gateway, empty if they are unchanged
 */
record ReportContent(
        Map<TargetName, Workload> workloads,
        List<TargetIncarnation> leaving,
        Observations observations,
        List<TargetLimits.Statement> limits,
        Map<TargetIncarnation, Long> pauses,
        List<ColdTargets.Statement> cold,
        List<TargetRamps.Statement> ramps,
        Optional<GatewayLoad.WaitingState> waiting) {

    /** Targets or traits in one datagram, so that it fits into a packet of a usual network. */
    private static final int TARGETS_PER_REPORT = 24;

    /** Pieces of crashes in one datagram, each with several suspects. */
    private static final int CRASHES_PER_REPORT = 4;

    boolean isEmpty() {
        return workloads.isEmpty()
                && leaving.isEmpty()
                && observations.isEmpty()
                && limits.isEmpty()
                && pauses.isEmpty()
                && cold.isEmpty()
                && ramps.isEmpty()
                && waiting.isEmpty();
    }

    /**
     * Divides the content among reports that fit into a datagram each.
     *
     * @param gateway name of the reporting gateway
     * @param zone its availability zone
     * @param start number of this start of the gateway
     * @param numbers supplies the number of each report
     * @param now current time, in milliseconds
     * @return the reports, at least one
     */
    List<GatewayLoad> toReports(String gateway, ZoneName zone, long start, LongSupplier numbers, long now) {
        List<GatewayLoad.TargetWork> targets = workloads.entrySet().stream()
                .map(target -> GatewayLoad.TargetWork.of(target.getKey(), target.getValue()))
                .toList();
        List<GatewayLoad.LeavingTarget> leavingTargets =
                leaving.stream().map(GatewayLoad.LeavingTarget::of).toList();
        List<GatewayLoad.Crash> crashes = observations.crashes().stream()
                .flatMap(crash -> GatewayLoad.Crash.of(crash, now))
                .toList();
        List<GatewayLoad.GeneratedTrait> generated = observations.generatedAt().entrySet().stream()
                .map(trait -> new GatewayLoad.GeneratedTrait(trait.getKey(), now - trait.getValue()))
                .toList();
        List<GatewayLoad.Limit> namedLimits = limits.stream()
                .map(statement -> GatewayLoad.Limit.of(statement, now))
                .toList();
        List<GatewayLoad.Pause> askedPauses = pauses.entrySet().stream()
                .map(pause -> GatewayLoad.Pause.of(pause.getKey(), pause.getValue(), now))
                .toList();
        List<GatewayLoad.ColdTime> coldTimes = cold.stream()
                .map(statement -> GatewayLoad.ColdTime.of(statement, now))
                .toList();
        List<GatewayLoad.Ramp> limitedRuns = ramps.stream()
                .map(statement -> GatewayLoad.Ramp.of(statement, now))
                .toList();
        int datagrams = IntStream.of(
                        1,
                        pages(targets, TARGETS_PER_REPORT),
                        pages(leavingTargets, TARGETS_PER_REPORT),
                        pages(crashes, CRASHES_PER_REPORT),
                        pages(generated, TARGETS_PER_REPORT),
                        pages(namedLimits, TARGETS_PER_REPORT),
                        pages(askedPauses, TARGETS_PER_REPORT),
                        pages(coldTimes, TARGETS_PER_REPORT),
                        pages(limitedRuns, TARGETS_PER_REPORT))
                .max()
                .getAsInt();
        List<GatewayLoad> reports = new ArrayList<>();
        for (int datagram = 0; datagram < datagrams; datagram++) {
            reports.add(new GatewayLoad(
                    gateway,
                    zone,
                    start,
                    numbers.getAsLong(),
                    page(targets, datagram, TARGETS_PER_REPORT),
                    page(leavingTargets, datagram, TARGETS_PER_REPORT),
                    page(crashes, datagram, CRASHES_PER_REPORT),
                    page(generated, datagram, TARGETS_PER_REPORT),
                    page(namedLimits, datagram, TARGETS_PER_REPORT),
                    page(askedPauses, datagram, TARGETS_PER_REPORT),
                    page(coldTimes, datagram, TARGETS_PER_REPORT),
                    page(limitedRuns, datagram, TARGETS_PER_REPORT),
                    datagram == datagrams - 1 ? waiting.orElse(null) : null));
        }
        return reports;
    }

    private static int pages(List<?> elements, int pageSize) {
        return (elements.size() + pageSize - 1) / pageSize;
    }

    private static <T> List<T> page(List<T> elements, int number, int pageSize) {
        int begin = Math.min(elements.size(), number * pageSize);
        return elements.subList(begin, Math.min(elements.size(), begin + pageSize));
    }
}
