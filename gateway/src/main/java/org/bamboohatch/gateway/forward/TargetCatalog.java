package org.bamboohatch.gateway.forward;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.UnaryOperator;

import com.dynatrace.hash4j.hashing.Hashing;
import org.bamboohatch.gateway.configuration.FleetView;
import org.bamboohatch.gateway.load.ExchangedState;
import org.bamboohatch.gateway.load.LoadTracker;
import org.bamboohatch.gateway.target.ColdTargets;
import org.bamboohatch.gateway.target.LeavingTargets;
import org.bamboohatch.gateway.target.TargetAddress;
import org.bamboohatch.gateway.target.TargetLimits;
import org.bamboohatch.gateway.target.TargetPauses;
import org.bamboohatch.gateway.target.TargetRamps;
import org.bamboohatch.kernel.id.HostName;
import org.bamboohatch.kernel.id.ServiceName;
import org.bamboohatch.kernel.id.TargetIncarnation;
import org.bamboohatch.kernel.id.TargetName;
import org.bamboohatch.kernel.id.ZoneName;
import org.bamboohatch.protocol.message.TargetAnnouncement;
import org.bamboohatch.routing.fleet.Candidate;
import org.bamboohatch.routing.retry.ColdPeriod;
import org.bamboohatch.routing.retry.TargetHealth;

/** The known targets, their load and their availability; confined to the callers' event loop. */
final class TargetCatalog {

    private final HostName host;

    private final ZoneName zone;

    private final LoadTracker loadTracker;

    /** This gateway's copy of the membership. */
    private FleetView view = FleetView.EMPTY;

    /** The targets that are about to end and get no new requests. */
    private final LeavingTargets leaving;

    private final TargetLimits limits;

    private final TargetPauses pauses;

    private final ColdTargets cold;

    private final TargetRamps ramps;

    private final TargetWarmUp warmUp;

    /** Observed health by address; the address includes the incarnation, so a restarted target starts anew. */
    private final Map<TargetAddress, TargetHealth> health = new HashMap<>();

    /** The members by service. */
    private final Map<ServiceName, List<KnownTarget>> members = new HashMap<>();

    /**
     * A member of a service.
     *
     * @param target the latest announcement
     * @param address address of the announced incarnation
     * @param selectionBias this gateway's bias against the target, from zero to one; lower values are preferred
     */
    private record KnownTarget(TargetAnnouncement target, TargetAddress address, double selectionBias) {}

    /**
     * Creates a catalog without targets.
     *
     * @param host host of this gateway
     * @param zone availability zone of this gateway
     * @param state state of the targets that gateways exchange
     */
    TargetCatalog(HostName host, ZoneName zone, ExchangedState state) {
        this.host = host;
        this.zone = zone;
        this.loadTracker = state.loadTracker();
        this.leaving = state.leavingTargets();
        this.pauses = state.pauses();
        this.limits = state.limits();
        this.cold = state.coldTargets();
        this.ramps = state.ramps();
        this.warmUp = new TargetWarmUp(cold, ramps);
    }

    /**
     * Replaces the membership. The health of targets that remain is retained.
     *
     * @param nextView the new copy of the membership
     * @param now current time, in milliseconds
     * @return addresses of the targets that accept requests
     */
    Set<TargetAddress> apply(FleetView nextView, long now) {
        view = nextView;
        warmUp.apply(nextView, now);
        Set<TargetAddress> present = new HashSet<>();
        members.clear();
        for (TargetAnnouncement target : nextView.targets().values()) {
            KnownTarget member = new KnownTarget(target, address(target), selectionBias(target.target()));
            members.computeIfAbsent(target.service(), added -> new ArrayList<>())
                    .add(member);
            present.add(member.address());
        }
        health.keySet().retainAll(present);
        present.forEach(address -> health.putIfAbsent(address, TargetHealth.HEALTHY));
        return Set.copyOf(present);
    }

    private static TargetAddress address(TargetAnnouncement target) {
        return new TargetAddress(target.target(), target.incarnation(), target.address());
    }

    /**
     * Returns the address of a target.
     *
     * @param name name of a target that {@linkplain #isKnown(TargetName) is known}
     * @return the address of its present incarnation
     */
    TargetAddress find(TargetName name) {
        return address(view.targets().get(name));
    }

    boolean isKnown(TargetName name) {
        return view.targets().containsKey(name);
    }

    /** Applies the load reports of other gateways that have arrived, so that a decision does not rest on an older view. */
    void applyArrivedReports() {
        loadTracker.trigger().applyArrivedReports();
    }

    /**
     * Returns the targets that a request may be sent to. Those that are leaving, paused, at their limit or in an evacuated
     * zone are omitted; ejected ones and those whose concurrency is limited because they have started are omitted unless no
     * other is left. A target at its limit comes before an ejected one, as a request that is slow is better than one that
     * fails.
     *
     * @param service the service of the request
     * @param excluded targets that are not considered
     * @param now current time, in milliseconds
     * @return the candidates for placement
     */
    List<Candidate> candidates(ServiceName service, Set<TargetName> excluded, long now) {
        applyArrivedReports();
        warmUp.advance(now);
        List<KnownTarget> accepting = members.getOrDefault(service, List.of()).stream()
                .filter(member -> !excluded.contains(member.target().target()))
                .filter(member -> isCandidate(member, now))
                .toList();
        List<KnownTarget> available = accepting.stream()
                .filter(member -> health.getOrDefault(member.address(), TargetHealth.HEALTHY)
                        .isAvailable(now))
                .toList();
        List<KnownTarget> preferred = available.isEmpty() ? accepting : available;
        return belowRampLimits(preferred, now).stream()
                .map(member -> toCandidate(member, now))
                .toList();
    }

    private List<KnownTarget> belowRampLimits(List<KnownTarget> preferred, long now) {
        if (ramps.isEmpty()) {
            return preferred;
        }
        List<KnownTarget> below =
                preferred.stream().filter(member -> !isAtRampLimit(member, now)).toList();
        return below.isEmpty() ? preferred : below;
    }

    /**
     * Indicates whether a target gets no further requests for now because it has started. The load is summed over all
     * gateways, so that it is determined for targets on a ramp only.
     *
     * @param member the target
     * @param now current time, in milliseconds
     */
    private boolean isAtRampLimit(KnownTarget member, long now) {
        TargetIncarnation target = member.address().toIncarnation();
        return ramps.lasts(target)
                && ramps.holdOff(
                        target, loadTracker.load(member.target().target(), now).runs(), now);
    }

    /**
     * Indicates whether a service has a target that a request may be sent to.
     *
     * @param service the service of the request
     * @param excluded targets that are not considered
     * @param now current time, in milliseconds
     * @return whether there is such a target, ejected or not
     */
    boolean hasCandidate(ServiceName service, Set<TargetName> excluded, long now) {
        applyArrivedReports();
        return members.getOrDefault(service, List.of()).stream().anyMatch(member -> mayBeSentTo(member, excluded, now));
    }

    private boolean mayBeSentTo(KnownTarget member, Set<TargetName> excluded, long now) {
        return !excluded.contains(member.target().target()) && acceptsRequests(member.address(), now);
    }

    /**
     * Indicates whether a target accepts new requests, and counts those that cold targets are spared.
     *
     * @param member a target that is not excluded
     * @param now current time, in milliseconds
     */
    private boolean isCandidate(KnownTarget member, long now) {
        boolean accepted = acceptsRequests(member.address(), now);
        if (!accepted) {
            cold.countIfHeldOff(member.address().toIncarnation(), now);
        }
        return accepted;
    }

    private Candidate toCandidate(KnownTarget candidate, long now) {
        TargetAnnouncement target = candidate.target();
        return new Candidate(
                target.target(),
                target.zone().equals(zone),
                target.maximumRuns(),
                loadTracker.load(target.target(), now),
                candidate.selectionBias(),
                1);
    }

    /**
     * Returns this gateway's bias against a target. It differs between gateways, so that they don't all choose the same
     * target.
     *
     * @param target name of the target
     * @return a number from zero to one; lower values are preferred
     */
    private double selectionBias(TargetName target) {
        long hash = Hashing.wyhashFinal4().hashCharsToLong(host.value() + '/' + target.value());
        return (hash >>> 1) / (double) Long.MAX_VALUE;
    }

    /**
     * Indicates whether a target accepts new requests, as far as it has told, and its zone is not evacuated.
     *
     * @param address address of the target
     * @param now current time, in milliseconds
     * @return whether it is neither leaving nor paused nor evacuated, and its limit allows a request
     */
    boolean acceptsRequests(TargetAddress address, long now) {
        return !isEvacuated(address.target()) && !isLeaving(address) && acceptsRequestsAt(address, now) <= now;
    }

    /**
     * Indicates whether nothing new may be sent to a target because its availability zone is evacuated.
     *
     * @param name name of the target
     * @return true as well for a target that is no longer a member while any zone is evacuated, as its zone is not known
     */
    boolean isEvacuated(TargetName name) {
        if (view.evacuatedZones().zones().isEmpty()) {
            return false;
        }
        TargetAnnouncement target = view.targets().get(name);
        return target == null || view.evacuatedZones().contains(target.zone());
    }

    /**
     * Returns the time from which a target that is not leaving accepts the next request of this gateway.
     *
     * @param address address of the target
     * @param now current time, in milliseconds
     * @return the later of the end of its pause and the time that its limit allows, in milliseconds
     */
    private long acceptsRequestsAt(TargetAddress address, long now) {
        return Math.max(pauses.pausedUntil(address.toIncarnation()), limits.nextSendAt(address.toIncarnation(), now));
    }

    boolean isLeaving(TargetAddress address) {
        return leaving.contains(address);
    }

    /**
     * Returns the time until a target of a service accepts requests, if all that are neither leaving nor evacuated are
     * paused or limited.
     *
     * @param service the service
     * @param now current time, in milliseconds
     * @return the shortest time in milliseconds, empty if a target accepts requests or all are leaving or evacuated
     */
    OptionalLong shortestPauseMillis(ServiceName service, long now) {
        applyArrivedReports();
        OptionalLong shortest = view.targetsOf(service).stream()
                .map(TargetCatalog::address)
                .filter(address -> !leaving.contains(address) && !isEvacuated(address.target()))
                .mapToLong(address -> acceptsRequestsAt(address, now) - now)
                .min();
        return shortest.isPresent() && shortest.getAsLong() > 0 ? shortest : OptionalLong.empty();
    }

    /**
     * Records that a target wants no requests for some time, also if it is not announced at present.
     *
     * @param target address of the target
     * @param millis duration of the pause, in milliseconds
     * @param now current time, in milliseconds
     */
    void recordPauseRequest(TargetAddress target, long millis, long now) {
        pauses.add(target.toIncarnation(), millis, now);
        loadTracker.trigger().reportSoon();
    }

    /**
     * Records that a target is about to end.
     *
     * @param target address of the target
     * @param now current time, in milliseconds
     * @return whether it was not known to be leaving
     */
    boolean recordLeaving(TargetAddress target, long now) {
        return reportIfChanged(leaving.add(target.toIncarnation(), now));
    }

    /**
     * Records the limit that a target names.
     *
     * @param target address of the target
     * @param perSecond requests per second that it takes from all gateways together
     * @param now current time, in milliseconds
     * @return whether the limit is new or has changed
     */
    boolean recordLimit(TargetAddress target, double perSecond, long now) {
        return reportIfChanged(limits.recordLimit(target.toIncarnation(), perSecond, now));
    }

    /**
     * Records that a target names no limit.
     *
     * @param target address of the target
     * @param requestSentAt time at which the request was sent to which it responds, in milliseconds
     * @param now current time, in milliseconds
     * @return whether a limit has ended
     */
    boolean recordNoLimit(TargetAddress target, long requestSentAt, long now) {
        return reportIfChanged(limits.recordNoLimit(target.toIncarnation(), requestSentAt, now));
    }

    private boolean reportIfChanged(boolean changed) {
        if (changed) {
            loadTracker.trigger().reportSoon();
        }
        return changed;
    }

    /**
     * Records how long a target is still cold, as it states in a response.
     *
     * @param target address of the target
     * @param millis time in milliseconds, zero if it is cold no longer
     * @param requestSentAt time at which the request was sent that it responds to, in milliseconds; empty if not known
     * @param now current time, in milliseconds
     */
    void recordCold(TargetAddress target, long millis, OptionalLong requestSentAt, long now) {
        if (millis > 0) {
            cold.record(target.toIncarnation(), ColdPeriod.of(millis, now), now);
        } else if (requestSentAt.isPresent()) {
            cold.recordWarm(target.toIncarnation(), requestSentAt.getAsLong(), now);
        }
        loadTracker.trigger().reportSoon();
    }

    /**
     * Indicates whether a target is cold, so that it takes a limited rate of requests.
     *
     * @param name name of a target
     * @param now current time, in milliseconds
     * @return whether it is known and cold
     */
    boolean isCold(TargetName name, long now) {
        return isKnown(name) && cold.isCold(find(name).toIncarnation(), now);
    }

    /**
     * Takes this gateway's share in the rate of a cold target for a memory command.
     *
     * @param target address of the target
     * @param now current time, in milliseconds
     * @return whether the command may be sent; always if the target is not cold
     */
    boolean acquireCommand(TargetAddress target, long now) {
        if (limits.coldSendAt(target.toIncarnation(), now) > now) {
            return false;
        }
        limits.recordCommand(target.toIncarnation(), now);
        return true;
    }

    void recordDispatch(TargetAddress target, long now) {
        limits.recordSend(target.toIncarnation(), now);
        updateHealth(target, health -> health.afterDispatch(now));
    }

    /**
     * Records the first event of a response, or the response of a plain service.
     *
     * @param target address of the target
     * @param sentAt time at which the request was sent, in milliseconds
     * @param inTime whether it is as early as that of a target at its full speed
     * @param now current time, in milliseconds
     */
    void recordFirstEvent(TargetAddress target, long sentAt, boolean inTime, long now) {
        ramps.recordResponse(target.toIncarnation(), sentAt, inTime, now);
    }

    void recordSuccess(TargetAddress target, long now) {
        boolean wasEjected = health.getOrDefault(target, TargetHealth.HEALTHY).ejections() > 0;
        if (wasEjected && cold.isLimitedService(target.toIncarnation())) {
            warmUp.begin(target.toIncarnation(), now);
        }
        updateHealth(target, TargetHealth::afterSuccess);
    }

    private void updateHealth(TargetAddress target, UnaryOperator<TargetHealth> update) {
        health.computeIfPresent(target, (address, current) -> update.apply(current));
    }

    /**
     * Records a failure that another target has reported.
     *
     * @param service the service of both targets
     * @param address address or name of the failed target
     * @param now current time, in milliseconds
     * @return the failed target, empty if the service has no such target
     */
    Optional<TargetName> recordFailureAt(ServiceName service, String address, long now) {
        return view.targetsOf(service).stream()
                .filter(target -> target.address().equals(address)
                        || target.target().value().equals(address))
                .findFirst()
                .map(target -> {
                    recordFailure(address(target), now);
                    return target.target();
                });
    }

    void recordFailure(TargetAddress target, long now) {
        ramps.recordFailure(target.toIncarnation(), now);
        updateHealth(target, health -> health.afterFailure(now));
    }
}
