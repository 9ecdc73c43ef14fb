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

/** The targets that requests may be sent to, and how each has served; used on the thread of all callers only. */
final class TargetRegistry {

    /** Host of this gateway. */
    private final HostName host;

    /** Availability zone of this gateway. */
    private final ZoneName zone;

    /** Work at the targets. */
    private final LoadTracker book;

    /** The gateway's copy of the membership. */
    private FleetView view = FleetView.EMPTY;

    /** Health of each start of a target. */
    private final Map<TargetAddress, TargetHealth> health = new HashMap<>();

    /** The candidates of one request. */
    private record Known(TargetAnnouncement target, TargetAddress address) {}

    /**
     * Creates an empty list.
     *
     * @param host host of this gateway
     * @param zone availability zone of this gateway
     * @param book work at the targets
     */
    TargetRegistry(HostName host, ZoneName zone, LoadTracker book) {
        this.host = host;
        this.zone = zone;
        this.book = book;
    }

    /**
     * Takes a new copy of the membership.
     *
     * @param next the copy
     * @return addresses of the targets that take work
     */
    Set<TargetAddress> apply(FleetView next) {
        view = next;
        Map<TargetAddress, TargetHealth> kept = new HashMap<>();
        for (TargetAnnouncement target : next.targets().values()) {
            TargetAddress address = address(target);
            kept.put(address, health.getOrDefault(address, TargetHealth.HEALTHY));
        }
        health.clear();
        health.putAll(kept);
        return Set.copyOf(kept.keySet());
    }

    /**
     * Names one start of a target.
     *
     * @param target the target
     * @return where it is reached
     */
    private static TargetAddress address(TargetAnnouncement target) {
        return new TargetAddress(target.target(), target.incarnation(), target.address());
    }

    /**
     * Finds a target.
     *
     * @param name its name
     * @return where it is reached
     */
    TargetAddress find(TargetName name) {
        return address(view.targets().get(name));
    }

    /**
     * Tells whether a target is known.
     *
     * @param name its name
     * @return whether it is a member
     */
    boolean isKnown(TargetName name) {
        return view.targets().containsKey(name);
    }

    /**
     * Lists the targets that a request may be sent to. If all are left out for their failures, none is.
     *
     * @param service the service
     * @param tried targets that the request was sent to already
     * @param now the present time
     * @return the candidates
     */
    List<Candidate> candidates(ServiceName service, Set<TargetName> tried, long now) {
        List<Known> known = new ArrayList<>();
        List<Known> sound = new ArrayList<>();
        for (TargetAnnouncement target : view.targetsOf(service)) {
            if (tried.contains(target.target())) {
                continue;
            }
            Known candidate = new Known(target, address(target));
            known.add(candidate);
            if (health.getOrDefault(candidate.address(), TargetHealth.HEALTHY).isAvailable(now)) {
                sound.add(candidate);
            }
        }
        List<Known> usable = sound.isEmpty() ? known : sound;
        return usable.stream().map(candidate -> describe(candidate, now)).toList();
    }

    /**
     * Describes a candidate.
     *
     * @param candidate the candidate
     * @param now the present time
     * @return what is known of it
     */
    private Candidate describe(Known candidate, long now) {
        TargetAnnouncement target = candidate.target();
        return new Candidate(
                target.target(),
                target.zone().equals(zone),
                target.maximumRuns(),
                book.load(target.target(), now),
                affinity(target.target()),
                1);
    }

    /**
     * Tells how much this gateway prefers others to a target.
     *
     * @param target the target
     * @return a number from zero to one
     */
    private double affinity(TargetName target) {
        long hash = Hashing.wyhashFinal4().hashCharsToLong(host.value() + '/' + target.value());
        return (hash >>> 1) / (double) Long.MAX_VALUE;
    }

    /**
     * Takes note of a request that was sent.
     *
     * @param target the target
     * @param now the present time
     */
    void dispatched(TargetAddress target, long now) {
        health.computeIfPresent(target, (address, present) -> present.afterDispatch(now));
    }

    /**
     * Takes note of an answer.
     *
     * @param target the target
     */
    void succeeded(TargetAddress target) {
        health.computeIfPresent(target, (address, present) -> present.afterSuccess());
    }

    /**
     * Takes note of a failure that another target tells of.
     *
     * @param service the service of both
     * @param address address or name of the target at fault
     * @param now the present time
     * @return the target at fault, empty if none is known there
     */
    Optional<TargetName> failedAt(ServiceName service, String address, long now) {
        return view.targetsOf(service).stream()
                .filter(target -> target.address().equals(address)
                        || target.target().value().equals(address))
                .findFirst()
                .map(target -> {
                    failed(address(target), now);
                    return target.target();
                });
    }

    /**
     * Takes note of a failure.
     *
     * @param target the target
     * @param now the present time
     */
    void failed(TargetAddress target, long now) {
        health.computeIfPresent(target, (address, present) -> present.afterFailure(now));
    }
}
