package org.bamboohatch.gateway.forward;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.bamboohatch.document.fleet.FleetService;
import org.bamboohatch.gateway.configuration.FleetView;
import org.bamboohatch.gateway.target.ColdTargets;
import org.bamboohatch.gateway.target.TargetRamps;
import org.bamboohatch.kernel.id.ServiceName;
import org.bamboohatch.kernel.id.TargetIncarnation;
import org.bamboohatch.kernel.id.TargetName;
import org.bamboohatch.protocol.message.TargetAnnouncement;
import org.bamboohatch.routing.retry.ColdPeriod;

/**
 * Derives from the membership which targets have started and which are cold, for the services that limit the rate of cold
 * targets. Confined to the callers' event loop.
 */
final class TargetWarmUp {

    /**
     * Time for which a service must be known before the targets that it did not have are taken to have started, in
     * milliseconds. Until then, targets may be new to this gateway because it has started or control has a new leader.
     */
    private static final long KNOWN_SERVICE_MS = 5_000;

    /** Time within which targets start together, in milliseconds. */
    private static final long MASS_START_MS = 5_000;

    /** Number of incarnations from which on those that are not members are forgotten; several times a large fleet. */
    private static final int MAX_SEEN = 10_000;

    private final ColdTargets cold;

    private final TargetRamps ramps;

    /** Time since which a target of each service is known, in milliseconds. */
    private final Map<ServiceName, Long> knownSince = new HashMap<>();

    /** The last announcement of each target whose service limits the rate of cold targets. */
    private Map<TargetName, TargetAnnouncement> announced = Map.of();

    /** The incarnations that were members at any time and have not been replaced. */
    private final Set<TargetIncarnation> seen = new HashSet<>();

    /** Time at which each member was first seen or became warm, whichever was later, in milliseconds. */
    private final Map<TargetIncarnation, Long> startedAt = new HashMap<>();

    /**
     * Creates an instance that knows no targets.
     *
     * @param cold the cold times of targets
     * @param ramps the limits of targets that have started
     */
    TargetWarmUp(ColdTargets cold, TargetRamps ramps) {
        this.cold = cold;
        this.ramps = ramps;
    }

    /**
     * Applies a copy of the membership. Announcements that it shares with the previous copy are no new statements.
     *
     * @param view the new copy
     * @param now current time, in milliseconds
     */
    void apply(FleetView view, long now) {
        Map<TargetIncarnation, Double> rates = new HashMap<>();
        Map<TargetName, TargetAnnouncement> next = new HashMap<>();
        for (TargetAnnouncement target : view.targets().values()) {
            service(view, target).ifPresent(service -> {
                rates.put(incarnation(target), service.coldPerSecond());
                next.put(target.target(), target);
            });
        }
        cold.setRates(rates, now);
        next.forEach((name, target) -> {
            if (!target.equals(announced.get(name))) {
                applyAnnouncement(target, service(view, target).orElseThrow(), now);
            }
        });
        announced = next;
        next.values().forEach(target -> knownSince.putIfAbsent(target.service(), now));
        if (rates.isEmpty()) {
            knownSince.clear();
            seen.clear();
        }
        startedAt.keySet().retainAll(rates.keySet());
        ramps.cancel(target -> !rates.containsKey(target), Long.MIN_VALUE, now);
        advance(now);
    }

    /**
     * Ends cold times and ramps that are over, and begins the ramps of the targets that have become warm. There is no ramp if
     * most targets of a service have started together, since their capacity is then needed more.
     *
     * @param now current time, in milliseconds
     */
    void advance(long now) {
        if (announced.isEmpty()) {
            return;
        }
        cold.expire(now);
        cold.takeEnded().forEach(target -> {
            startedAt.put(target, now);
            begin(target, now);
        });
        ramps.expire(now);
        if (ramps.size() > 0) {
            knownSince.keySet().stream()
                    .filter(service -> haveMostStarted(service, now))
                    .forEach(service -> ramps.cancel(target -> isOf(target, service), now - MASS_START_MS, now));
        }
    }

    /**
     * Begins the ramp of a target that is ready for its first requests, has become warm, or has come back from ejection.
     *
     * @param target a member of a service that limits the rate of cold targets
     * @param now current time, in milliseconds
     */
    void begin(TargetIncarnation target, long now) {
        TargetAnnouncement announcement = announced.get(target.target());
        if (announcement != null && incarnation(announcement).equals(target)) {
            ramps.begin(target, announcement.maximumRuns(), now);
        }
    }

    private boolean isOf(TargetIncarnation target, ServiceName service) {
        TargetAnnouncement announcement = announced.get(target.target());
        return announcement != null && announcement.service().equals(service);
    }

    private boolean haveMostStarted(ServiceName service, long now) {
        long members = announced.values().stream()
                .filter(target -> target.service().equals(service))
                .count();
        long started = startedAt.entrySet().stream()
                .filter(target -> now - target.getValue() < MASS_START_MS && isOf(target.getKey(), service))
                .count();
        return 2 * started > members;
    }

    private static Optional<FleetService> service(FleetView view, TargetAnnouncement target) {
        return view.routeTable()
                .flatMap(table -> table.service(target.service()))
                .filter(FleetService::limitsColdTargets);
    }

    static TargetIncarnation incarnation(TargetAnnouncement target) {
        return new TargetIncarnation(target.target(), target.incarnation());
    }

    private void applyAnnouncement(TargetAnnouncement target, FleetService service, long now) {
        TargetIncarnation incarnation = incarnation(target);
        boolean first = !seen.contains(incarnation);
        if (first) {
            seen.removeIf(other -> other.target().equals(target.target()));
            if (seen.size() >= MAX_SEEN) {
                seen.retainAll(startedAt.keySet());
            }
            seen.add(incarnation);
        }
        if (target.coldMillis() != null) {
            long age = target.coldAgeMillis() == null ? 0 : target.coldAgeMillis();
            cold.record(incarnation, ColdPeriod.of(target.coldMillis(), now - age), now);
        } else if (first && now - knownSince.getOrDefault(target.service(), now) >= KNOWN_SERVICE_MS) {
            cold.record(incarnation, ColdPeriod.of(service.coldStartMillis(), now), now);
        }
        if (first) {
            startedAt.put(incarnation, now);
        }
        boolean started = first && now - knownSince.getOrDefault(target.service(), now) >= KNOWN_SERVICE_MS;
        if (started && !cold.isCold(incarnation, now)) {
            ramps.begin(incarnation, target.maximumRuns(), now);
        }
    }
}
