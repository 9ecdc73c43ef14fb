package org.bamboohatch.gateway.configuration;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.bamboohatch.kernel.id.ServiceName;
import org.bamboohatch.kernel.id.TargetName;
import org.bamboohatch.protocol.message.ControlReply.Changes;
import org.bamboohatch.protocol.message.ControlRequest.Poll;
import org.bamboohatch.protocol.message.EvacuatedZones;
import org.bamboohatch.protocol.message.TargetAnnouncement;

/**
 * Immutable copy of the configuration and the membership at a gateway.
 *
 * @param routeTable the configuration, empty if none has been received yet
 * @param epoch epoch of the membership; versions of different epochs are not comparable
 * @param version version of the membership within its epoch
 * @param targets targets that accept requests, by name
 * @param gateways addresses for load reports of all gateways, including this one
 * @param evacuatedZones availability zones to whose targets nothing new is sent
 */
public record FleetView(
        Optional<RouteTable> routeTable,
        long epoch,
        long version,
        Map<TargetName, TargetAnnouncement> targets,
        List<String> gateways,
        EvacuatedZones evacuatedZones) {

    /** The copy before the first reply of control. */
    public static final FleetView EMPTY = new FleetView(Optional.empty(), 0, 0, Map.of(), List.of());

    /** Copies the collections. */
    public FleetView {
        targets = Map.copyOf(targets);
        gateways = List.copyOf(gateways);
    }

    /**
     * Creates a copy without evacuated zones.
     *
     * @param routeTable the configuration, empty if none has been received yet
     * @param epoch epoch of the membership
     * @param version version of the membership within its epoch
     * @param targets targets that accept requests, by name
     * @param gateways addresses for load reports of all gateways, including this one
     */
    public FleetView(
            Optional<RouteTable> routeTable,
            long epoch,
            long version,
            Map<TargetName, TargetAnnouncement> targets,
            List<String> gateways) {
        this(routeTable, epoch, version, targets, gateways, EvacuatedZones.NONE);
    }

    /**
     * Returns the version of the configuration.
     *
     * @return the version, {@link Poll#NO_FLEET} if no configuration has been received yet
     */
    public long configurationVersion() {
        return routeTable.map(RouteTable::version).orElse(Poll.NO_FLEET);
    }

    /**
     * Applies the changes since this copy. In a new epoch, or if they are marked as whole, they contain all targets and
     * replace the membership; otherwise they add and remove targets. The evacuated zones are replaced by a later version
     * only, so that neither a reply that was overtaken nor a leader of an earlier version undoes an order.
     *
     * @param changes the changes that control has sent for this copy
     * @param newerRouteTable configuration that replaces the present one, empty to retain it
     * @return the new copy
     */
    public FleetView apply(Changes changes, Optional<RouteTable> newerRouteTable) {
        Map<TargetName, TargetAnnouncement> next = new HashMap<>(targets);
        if (changes.epoch() != epoch || changes.whole()) {
            next.clear();
        }
        changes.joined().forEach(target -> next.put(target.target(), target));
        changes.departed().forEach(next::remove);
        Optional<RouteTable> nextRouteTable = newerRouteTable.isPresent() ? newerRouteTable : routeTable;
        return new FleetView(
                nextRouteTable,
                changes.epoch(),
                changes.version(),
                next,
                changes.gateways(),
                evacuatedZones.later(changes.evacuated()));
    }

    /**
     * Returns the targets of a service.
     *
     * @param service name of the service
     * @return its targets that accept requests, in no particular order
     */
    public List<TargetAnnouncement> targetsOf(ServiceName service) {
        return targets.values().stream()
                .filter(target -> target.service().equals(service))
                .toList();
    }
}
