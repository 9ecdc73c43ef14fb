package org.bamboohatch.control.membership;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;

import org.bamboohatch.kernel.id.ZoneName;

/**
 * The processes that hold configuration, and the revisions that they apply. A holder that has been silent for a
 * whole lease has stopped to admit requests by itself and is no longer waited for.
 */
public final class SubscriberRegistry {

    /** Silence after which a holder is no longer waited for, in milliseconds. */
    public static final long LEASE_MS = 3_000;

    /** Silence of control after which a holder stops to admit requests, in milliseconds; shorter than the lease. */
    public static final long ADMISSION_LEASE_MS = 2_500;

    /** The holders by name. */
    private final Map<String, Holder> holders = new TreeMap<>();

    /** Time at which every live holder must have been heard. */
    private final long completeAt;

    /**
     * One holder.
     *
     * @param zone its availability zone
     * @param isEntry whether it admits requests
     * @param revision the revision that it applies
     * @param heardAt time of its last message
     */
    private record Holder(ZoneName zone, boolean isEntry, long revision, long heardAt) {}

    /**
     * Creates an empty registry.
     *
     * @param now the present time
     */
    public SubscriberRegistry(long now) {
        this.completeAt = now + LEASE_MS;
    }

    /**
     * Tells whether every live holder must have been heard.
     *
     * @param now the present time
     * @return whether the registry is complete
     */
    public boolean isComplete(long now) {
        return now >= completeAt;
    }

    /**
     * Takes note of a holder.
     *
     * @param name its name
     * @param zone its availability zone
     * @param isEntry whether it admits requests
     * @param revision the revision that it applies
     * @param now the present time
     * @return whether the holder was not known before
     */
    public boolean hear(String name, ZoneName zone, boolean isEntry, long revision, long now) {
        return holders.put(name, new Holder(zone, isEntry, revision, now)) == null;
    }

    /**
     * Lists the availability zones that have not confirmed a revision.
     *
     * @param revision the revision
     * @param now the present time
     * @return the zones with a live holder that applies an older revision
     */
    public List<ZoneName> pendingZones(long revision, long now) {
        holders.values().removeIf(holder -> now - holder.heardAt() > LEASE_MS);
        return holders.values().stream()
                .filter(holder -> holder.revision() < revision)
                .map(Holder::zone)
                .distinct()
                .sorted()
                .toList();
    }

    /**
     * Counts the entries.
     *
     * @return the number of holders that admit requests
     */
    public int entries() {
        return (int) holders.values().stream().filter(Holder::isEntry).count();
    }
}
