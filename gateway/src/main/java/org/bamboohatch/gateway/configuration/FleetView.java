package org.bamboohatch.gateway.configuration;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.bamboohatch.kernel.id.ServiceName;
import org.bamboohatch.kernel.id.TargetName;
import org.bamboohatch.protocol.message.ControlReply.Changes;
import org.bamboohatch.protocol.message.TargetAnnouncement;

/**
 * A gateway's copy of the configuration and of the membership; immutable.
 *
 * @param routeTable the configuration, empty before the first
 * @param epoch epoch of the membership
 * @param version version of the membership
 * @param targets the targets that take work
 * @param gateways addresses at which gateways take load reports, this one's included
 */
public record FleetView(
        Optional<RouteTable> routeTable,
        long epoch,
        long version,
        Map<TargetName, TargetAnnouncement> targets,
        List<String> gateways) {

    /** The copy before the first answer of control. */
    public static final FleetView EMPTY = new FleetView(Optional.empty(), 0, 0, Map.of(), List.of());

    /** Makes the collections immutable. */
    public FleetView {
        targets = Map.copyOf(targets);
        gateways = List.copyOf(gateways);
    }

    /**
     * Returns the version of the configuration.
     *
     * @return the version, the lowest number before the first
     */
    public long configurationVersion() {
        return routeTable.map(RouteTable::version).orElse(Long.MIN_VALUE);
    }

    /**
     * Applies what changed.
     *
     * @param changes the changes
     * @param newer the configuration that came with them, if it is newer
     * @return the new copy
     */
    public FleetView apply(Changes changes, Optional<RouteTable> newer) {
        Map<TargetName, TargetAnnouncement> next = new HashMap<>(targets);
        if (changes.epoch() != epoch) {
            next.clear();
        }
        changes.joined().forEach(target -> next.put(target.target(), target));
        changes.departed().forEach(next::remove);
        Optional<RouteTable> kept = newer.isPresent() ? newer : routeTable;
        return new FleetView(kept, changes.epoch(), changes.version(), next, changes.gateways());
    }

    /**
     * Lists the targets of a service.
     *
     * @param service the service
     * @return its targets that take work
     */
    public List<TargetAnnouncement> targetsOf(ServiceName service) {
        return targets.values().stream()
                .filter(target -> target.service().equals(service))
                .toList();
    }
}
