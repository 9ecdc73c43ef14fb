package org.bamboohatch.control.membership;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;

import org.bamboohatch.kernel.id.ZoneName;

/**
 * Tracks the subscribers, processes that have a copy of the configuration, and the revisions that they apply. A
 * subscriber from which nothing was received for {@link #LEASE_MS} has by then stopped admitting requests on its own
 * and is no longer waited for.
 */
public final class SubscriberRegistry {

    /** Time without a message after which a subscriber is no longer waited for, in milliseconds. */
    public static final long LEASE_MS = 3_000;

    /**
     * Time without contact to control after which a subscriber stops admitting requests, in milliseconds; shorter than
     * {@link #LEASE_MS}, so that it has stopped before control no longer waits for it, even if the clocks drift.
     */
    public static final long ADMISSION_LEASE_MS = 2_500;

    /** The subscribers by name. */
    private final Map<String, Subscriber> subscribers = new TreeMap<>();

    /** Time from which on every live subscriber has sent a message, in milliseconds of the monotonic clock. */
    private final long completeAt;

    /**
     * A subscriber as of its last message.
     *
     * @param zone availability zone of the subscriber
     * @param isEntry whether it admits requests
     * @param revision configuration revision that it applies
     * @param receivedAt monotonic time of the message, in milliseconds
     */
    private record Subscriber(ZoneName zone, boolean isEntry, long revision, long receivedAt) {}

    /**
     * Creates an empty registry.
     *
     * @param now current monotonic time, in milliseconds
     */
    public SubscriberRegistry(long now) {
        this.completeAt = now + LEASE_MS;
    }

    /**
     * Indicates whether every live subscriber has sent a message, as a whole lease has passed since the creation.
     *
     * @param now current monotonic time, in milliseconds
     * @return whether the registry is complete
     */
    public boolean isComplete(long now) {
        return now >= completeAt;
    }

    /**
     * Records a message of a subscriber.
     *
     * @param name name of the subscriber
     * @param zone availability zone of the subscriber
     * @param isEntry whether it admits requests
     * @param revision configuration revision that it applies
     * @param now current monotonic time, in milliseconds
     * @return whether the subscriber was not registered
     */
    public boolean update(String name, ZoneName zone, boolean isEntry, long revision, long now) {
        return subscribers.put(name, new Subscriber(zone, isEntry, revision, now)) == null;
    }

    /**
     * Removes the subscribers whose lease has expired and returns the availability zones that have not confirmed a
     * revision.
     *
     * @param revision the configuration revision
     * @param now current monotonic time, in milliseconds
     * @return the zones with a live subscriber that applies an older revision, sorted
     */
    public List<ZoneName> pendingZones(long revision, long now) {
        subscribers.values().removeIf(subscriber -> now - subscriber.receivedAt() > LEASE_MS);
        return subscribers.values().stream()
                .filter(subscriber -> subscriber.revision() < revision)
                .map(Subscriber::zone)
                .distinct()
                .sorted()
                .toList();
    }

    /**
     * Returns the number of entries among the subscribers.
     *
     * @return the number of subscribers that admit requests
     */
    public int entries() {
        return (int) subscribers.values().stream().filter(Subscriber::isEntry).count();
    }
}
