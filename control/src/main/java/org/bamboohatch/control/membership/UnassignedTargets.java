package org.bamboohatch.control.membership;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;

import org.bamboohatch.kernel.id.ServiceName;
import org.bamboohatch.kernel.id.TargetName;
import org.bamboohatch.protocol.message.TargetAnnouncement;

/**
 * Announcements for services that the configuration does not name. They are kept apart from the registry, so that they
 * neither take the place of its targets nor their addresses, and are used if the configuration names their service soon.
 */
public final class UnassignedTargets {

    /** Number of announcements that are retained; the earliest is dropped first. */
    static final int MAX_ANNOUNCEMENTS = 10_000;

    private final Map<TargetName, Retained> announcements = new LinkedHashMap<>();

    /** Creates an instance without announcements. */
    public UnassignedTargets() {}

    /**
     * A retained announcement.
     *
     * @param announcement the latest announcement of the target
     * @param receivedAt monotonic time at which it was received, in milliseconds
     */
    private record Retained(TargetAnnouncement announcement, long receivedAt) {}

    /**
     * Retains an announcement in place of earlier ones of the same target.
     *
     * @param announcement the announcement
     * @param now current monotonic time, in milliseconds
     * @return whether none of the target was retained
     */
    public boolean retain(TargetAnnouncement announcement, long now) {
        boolean first = announcements.remove(announcement.target()) == null;
        announcements.put(announcement.target(), new Retained(announcement, now));
        if (announcements.size() > MAX_ANNOUNCEMENTS) {
            Iterator<TargetName> earliest = announcements.keySet().iterator();
            earliest.next();
            earliest.remove();
        }
        return first;
    }

    /**
     * Removes the announcements of services that are named now.
     *
     * @param named whether the configuration names a service
     * @param now current monotonic time, in milliseconds
     * @return those that are not older than a lease
     */
    public List<TargetAnnouncement> release(Predicate<ServiceName> named, long now) {
        List<TargetAnnouncement> released = new ArrayList<>();
        announcements.values().removeIf(retained -> {
            boolean expired = now - retained.receivedAt() > TargetRegistry.LEASE_MS;
            boolean assigned = named.test(retained.announcement().service());
            if (assigned && !expired) {
                released.add(retained.announcement());
            }
            return assigned || expired;
        });
        return released;
    }
}
