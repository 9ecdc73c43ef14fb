package org.bamboohatch.gateway.forward;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.bamboohatch.document.fleet.FleetService;
import org.bamboohatch.gateway.configuration.FleetView;
import org.bamboohatch.gateway.target.ColdTargets;
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

    private final ColdTargets cold;

    /** Time since which a target of each service is known, in milliseconds. */
    private final Map<ServiceName, Long> knownSince = new HashMap<>();

    /** The last announcement of each target whose service limits the rate of cold targets. */
    private Map<TargetName, TargetAnnouncement> announced = Map.of();

    /** The incarnations that were members at any time and have not been replaced. */
    private final Set<TargetIncarnation> seen = new HashSet<>();

    /**
     * Creates an instance that knows no targets.
     *
     * @param cold the cold times of targets
     */
    TargetWarmUp(ColdTargets cold) {
        this.cold = cold;
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
            seen.add(incarnation);
        }
        if (target.coldMillis() != null) {
            long age = target.coldAgeMillis() == null ? 0 : target.coldAgeMillis();
            cold.record(incarnation, ColdPeriod.of(target.coldMillis(), now - age), now);
        } else if (first && now - knownSince.getOrDefault(target.service(), now) >= KNOWN_SERVICE_MS) {
            cold.record(incarnation, ColdPeriod.of(service.coldStartMillis(), now), now);
        }
    }
}
