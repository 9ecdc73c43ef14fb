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
import org.bamboohatch.gateway.target.LeavingTargets;
import org.bamboohatch.gateway.target.TargetAddress;
import org.bamboohatch.gateway.target.TargetLimits;
import org.bamboohatch.gateway.target.TargetPauses;
import org.bamboohatch.kernel.id.HostName;
import org.bamboohatch.kernel.id.ServiceName;
import org.bamboohatch.kernel.id.TargetName;
import org.bamboohatch.kernel.id.ZoneName;
import org.bamboohatch.protocol.message.TargetAnnouncement;
import org.bamboohatch.routing.fleet.Candidate;
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
     * Returns the targets that a request may be sent to. Those that are leaving, paused or at their limit are omitted; ejected ones are
     * omitted unless all others are ejected too.
     *
     * @param service the service of the request
     * @param excluded targets that are not considered
     * @param now current time, in milliseconds
     * @return the candidates for placement
     */
    List<Candidate> candidates(ServiceName service, Set<TargetName> excluded, long now) {
        applyArrivedReports();
        List<KnownTarget> all = members.getOrDefault(service, List.of()).stream()
                .filter(member -> mayBeSentTo(member, excluded, now))
                .toList();
        List<KnownTarget> preferred = all.stream()
                .filter(member -> health.getOrDefault(member.address(), TargetHealth.HEALTHY)
                        .isAvailable(now))
                .toList();
        List<KnownTarget> usable = preferred.isEmpty() ? all : preferred;
        return usable.stream().map(member -> toCandidate(member, now)).toList();
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
     * Indicates whether a target accepts new requests, as far as it has told.
     *
     * @param address address of the target
     * @param now current time, in milliseconds
     * @return whether it is neither leaving nor paused, and its limit allows a request
     */
    boolean acceptsRequests(TargetAddress address, long now) {
        return !isLeaving(address) && acceptsRequestsAt(address, now) <= now;
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
     * Returns the time until a target of a service accepts requests, if all that are not leaving are paused or limited.
     *
     * @param service the service
     * @param now current time, in milliseconds
     * @return the shortest time in milliseconds, empty if a target accepts requests or all are leaving
     */
    OptionalLong shortestPauseMillis(ServiceName service, long now) {
        applyArrivedReports();
        OptionalLong shortest = view.targetsOf(service).stream()
                .map(TargetCatalog::address)
                .filter(address -> !leaving.contains(address))
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

    void recordDispatch(TargetAddress target, long now) {
        limits.recordSend(target.toIncarnation(), now);
        updateHealth(target, health -> health.afterDispatch(now));
    }

    void recordSuccess(TargetAddress target) {
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
        updateHealth(target, health -> health.afterFailure(now));
    }
}
