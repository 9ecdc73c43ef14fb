package org.bamboohatch.protocol.message;

import java.util.Collection;
import java.util.List;

import org.bamboohatch.kernel.id.ZoneName;

/**
 * The availability zones to whose targets gateways send nothing new.
 *
 * @param version number of the set, which is higher for later sets; zero before the first order
 * @param zones the evacuated zones, sorted and without duplicates
 */
public record EvacuatedZones(long version, List<ZoneName> zones) {

    /** The set before the first order. */
    public static final EvacuatedZones NONE = new EvacuatedZones(0, List.of());

    /** Sorts the zones, so that equal sets are equal records. */
    public EvacuatedZones {
        zones = zones.stream().distinct().sorted().toList();
    }

    /**
     * Creates a set from zones in any order.
     *
     * @param version number of the set
     * @param zones the evacuated zones
     * @return the set
     */
    public static EvacuatedZones of(long version, Collection<ZoneName> zones) {
        return new EvacuatedZones(version, List.copyOf(zones));
    }

    /**
     * Indicates whether a zone is evacuated.
     *
     * @param zone the zone
     * @return whether gateways send nothing new to its targets
     */
    public boolean contains(ZoneName zone) {
        return zones.contains(zone);
    }

    /**
     * Returns the later one of this set and another one.
     *
     * @param other the other set, null if it is not known
     * @return the one with the higher version, this one if the versions are equal
     */
    public EvacuatedZones later(EvacuatedZones other) {
        return other != null && other.version() > version ? other : this;
    }
}
