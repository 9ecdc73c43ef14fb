package org.bamboohatch.gateway.forward;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import com.dynatrace.hash4j.hashing.Hashing;
import org.bamboohatch.gateway.configuration.FleetView;
import org.bamboohatch.gateway.load.LoadTracker;
import org.bamboohatch.gateway.target.TargetAddress;
import org.bamboohatch.kernel.id.HostName;
import org.bamboohatch.kernel.id.ServiceName;
import org.bamboohatch.kernel.id.TargetName;
import org.bamboohatch.kernel.id.ZoneName;
import org.bamboohatch.protocol.message.TargetAnnouncement;
import org.bamboohatch.routing.fleet.Candidate;
import org.bamboohatch.routing.retry.TargetHealth;

/** The known targets, their load and their health; confined to the callers' event loop. */
final class TargetCatalog {

    private final HostName host;

    private final ZoneName zone;

    private final LoadTracker loadTracker;

    /** This gateway's copy of the membership. */
    private FleetView view = FleetView.EMPTY;

    /** Health by address; the address includes the incarnation, so a restarted target starts out healthy. */
    private final Map<TargetAddress, TargetHealth> health = new HashMap<>();

    /** A member of the service, with its address. */
    private record KnownTarget(TargetAnnouncement target, TargetAddress address) {}

    /**
     * Creates a catalog without targets.
     *
     * @param host host of this gateway
     * @param zone availability zone of this gateway
     * @param loadTracker load of the targets
     */
    TargetCatalog(HostName host, ZoneName zone, LoadTracker loadTracker) {
        this.host = host;
        this.zone = zone;
        this.loadTracker = loadTracker;
    }

    /**
     * Replaces the membership. The health of targets that remain is retained.
     *
     * @param nextView the new copy of the membership
     * @return addresses of the targets that accept requests
     */
    Set<TargetAddress> apply(FleetView nextView) {
        view = nextView;
        Map<TargetAddress, TargetHealth> nextHealth = new HashMap<>();
        for (TargetAnnouncement target : nextView.targets().values()) {
            TargetAddress address = address(target);
            nextHealth.put(address, health.getOrDefault(address, TargetHealth.HEALTHY));
        }
        health.clear();
        health.putAll(nextHealth);
        return Set.copyOf(nextHealth.keySet());
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

    /**
     * Returns the targets that a request may be sent to. Ejected targets are omitted unless all are ejected.
     *
     * @param service the service of the request
     * @param excluded targets that are not considered
     * @param now current time, in milliseconds
     * @return the candidates for placement
     */
    List<Candidate> candidates(ServiceName service, Set<TargetName> excluded, long now) {
        List<KnownTarget> all = new ArrayList<>();
        List<KnownTarget> available = new ArrayList<>();
        for (TargetAnnouncement target : view.targetsOf(service)) {
            if (excluded.contains(target.target())) {
                continue;
            }
            KnownTarget candidate = new KnownTarget(target, address(target));
            all.add(candidate);
            if (health.getOrDefault(candidate.address(), TargetHealth.HEALTHY).isAvailable(now)) {
                available.add(candidate);
            }
        }
        List<KnownTarget> usable = available.isEmpty() ? all : available;
        return usable.stream().map(candidate -> toCandidate(candidate, now)).toList();
    }

    private Candidate toCandidate(KnownTarget candidate, long now) {
        TargetAnnouncement target = candidate.target();
        return new Candidate(
                target.target(),
                target.zone().equals(zone),
                target.maximumRuns(),
                loadTracker.load(target.target(), now),
                selectionBias(target.target()),
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

    void recordDispatch(TargetAddress target, long now) {
        health.computeIfPresent(target, (address, current) -> current.afterDispatch(now));
    }

    void recordSuccess(TargetAddress target) {
        health.computeIfPresent(target, (address, current) -> current.afterSuccess());
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
        health.computeIfPresent(target, (address, current) -> current.afterFailure(now));
    }
}
