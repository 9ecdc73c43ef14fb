package org.bamboohatch.control.membership;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

import org.bamboohatch.kernel.id.TargetName;
import org.bamboohatch.protocol.message.TargetAnnouncement;

/**
 * The targets that hold a lease with this leader. It is not replicated: after a change of leader the agents
 * announce themselves again, and until a whole lease has passed the registry is not complete.
 */
public final class TargetRegistry {

    /** Lease of a target, in milliseconds. */
    public static final long LEASE_MS = 3_000;

    /** Time for which a departure is remembered, in milliseconds. */
    static final long TOMBSTONE_MS = 600_000;

    /** Difference that clocks of two hosts may have, in milliseconds. */
    private static final long CLOCK_TOLERANCE_MS = 1_000;

    /** The targets by name, also the departed ones. */
    private final Map<TargetName, Lease> leases = new TreeMap<>();

    /** Number of this registry, larger for later leaders. */
    private final long epoch;

    /** Time at which the registry is complete. */
    private final long completeAt;

    /** Number of changes so far. */
    private long version;

    /** Targets that said they are gone, with the time of day before which a start of theirs cannot return. */
    private final Map<TargetName, Long> deregistered = new TreeMap<>();

    /** Version up to which departures have been forgotten. */
    private long forgottenVersion;

    /**
     * A target's lease.
     *
     * @param announcement the target
     * @param renewedAt time of the last renewal
     * @param version version of the registry at the last change of the target
     * @param departed whether the target has left or its lease has lapsed
     */
    private record Lease(TargetAnnouncement announcement, long renewedAt, long version, boolean departed) {}

    /**
     * What changed in the registry.
     *
     * @param epoch number of the registry
     * @param version version after the changes
     * @param complete whether the list is the whole membership rather than changes
     * @param joined targets that joined or changed
     * @param departed targets that left or died
     */
    public record Changes(
            long epoch, long version, boolean complete, List<TargetAnnouncement> joined, List<TargetName> departed) {}

    /**
     * Creates an empty registry.
     *
     * @param epoch number of the registry, the leader's term
     * @param now the present time
     */
    public TargetRegistry(long epoch, long now) {
        this.epoch = epoch;
        this.completeAt = now + LEASE_MS;
    }

    /**
     * Returns the number of the registry.
     *
     * @return the epoch
     */
    public long epoch() {
        return epoch;
    }

    /**
     * Returns the version of the registry.
     *
     * @return the number of changes so far
     */
    public long version() {
        return version;
    }

    /**
     * Tells whether every live target must have announced itself.
     *
     * @param now the present time
     * @return whether the registry is complete
     */
    public boolean isComplete(long now) {
        return now >= completeAt;
    }

    /**
     * Renews the lease of a target.
     *
     * @param announcement the target
     * @param now the present time
     * @return whether anything but the lease changed
     */
    public boolean announce(TargetAnnouncement announcement, long now) {
        Lease known = leases.get(announcement.target());
        Long goneSince = deregistered.get(announcement.target());
        if (goneSince != null && announcement.incarnation() < goneSince) {
            return false;
        }
        if (known != null && isOlder(announcement, known) || isReplaced(announcement)) {
            return false;
        }
        boolean changed = known == null
                || known.departed() != announcement.leaving()
                || !known.announcement().equalsIgnoringSequence(announcement);
        if (changed) {
            version++;
        }
        long changedAt = changed ? version : known.version();
        leases.put(announcement.target(), new Lease(announcement, now, changedAt, announcement.leaving()));
        return changed;
    }

    /**
     * Tells whether an announcement was sent before the one that is known.
     *
     * @param announcement the announcement
     * @param known the known lease
     * @return whether it comes from an earlier start, or is late
     */
    private static boolean isOlder(TargetAnnouncement announcement, Lease known) {
        TargetAnnouncement latest = known.announcement();
        if (latest.incarnation() != announcement.incarnation()) {
            boolean restarted = announcement.incarnation() > latest.incarnation();
            return !restarted && !known.departed() || !restarted && announcement.sequence() > 0;
        }
        return announcement.sequence() > 0 && announcement.sequence() <= latest.sequence();
    }

    /**
     * Tells whether a later start of another target owns the address by now, and drops targets whose address the
     * announced one has taken over.
     *
     * @param announcement the announcement
     * @return whether the announced target is gone
     */
    private boolean isReplaced(TargetAnnouncement announcement) {
        if (announcement.sequence() == 0) {
            return false;
        }
        for (Map.Entry<TargetName, Lease> entry : leases.entrySet()) {
            TargetAnnouncement other = entry.getValue().announcement();
            boolean sameAddress = other.address().equals(announcement.address())
                    && !other.target().equals(announcement.target());
            if (sameAddress && other.incarnation() > announcement.incarnation()) {
                return true;
            }
            if (sameAddress && !entry.getValue().departed()) {
                version++;
                entry.setValue(new Lease(other, entry.getValue().renewedAt(), version, true));
            }
        }
        return false;
    }

    /**
     * Ends the lease of a target that is gone; only a later start of it can return.
     *
     * @param target the target
     * @param wallTime time of day, in Unix milliseconds, before which a start of the target cannot return
     * @return whether the target held a lease
     */
    public boolean deregister(TargetName target, long wallTime) {
        Lease known = leases.get(target);
        long goneSince = known == null
                ? wallTime - CLOCK_TOLERANCE_MS
                : known.announcement().incarnation() + 1;
        deregistered.merge(target, goneSince, Math::max);
        if (known == null || known.departed()) {
            return false;
        }
        version++;
        leases.put(target, new Lease(known.announcement(), known.renewedAt(), version, true));
        return true;
    }

    /**
     * Ends the leases that were not renewed.
     *
     * @param now the present time
     * @return whether any target departed
     */
    public boolean sweep(long now) {
        boolean changed = false;
        for (Map.Entry<TargetName, Lease> entry : leases.entrySet()) {
            Lease lease = entry.getValue();
            if (!lease.departed() && now - lease.renewedAt() > LEASE_MS) {
                version++;
                entry.setValue(new Lease(lease.announcement(), lease.renewedAt(), version, true));
                changed = true;
            }
        }
        leases.values().removeIf(lease -> {
            boolean old = lease.departed() && now - lease.renewedAt() > TOMBSTONE_MS;
            if (old) {
                forgottenVersion = Math.max(forgottenVersion, lease.version());
            }
            return old;
        });
        return changed;
    }

    /**
     * Returns what changed since a copy was made.
     *
     * @param copyEpoch epoch of the copy
     * @param copyVersion version of the copy
     * @return the changes, or the whole membership if the copy is too old
     */
    public Changes changesSince(long copyEpoch, long copyVersion) {
        boolean whole = copyEpoch != epoch || copyVersion < forgottenVersion;
        long since = whole ? -1 : copyVersion;
        List<TargetAnnouncement> joined = new ArrayList<>();
        List<TargetName> departed = new ArrayList<>();
        leases.forEach((name, lease) -> {
            if (lease.version() > since && !lease.departed()) {
                joined.add(lease.announcement());
            } else if (lease.version() > since && !whole) {
                departed.add(name);
            }
        });
        return new Changes(epoch, version, whole, joined, departed);
    }

    /**
     * Lists the targets that take work.
     *
     * @return the targets with a lease
     */
    public Collection<TargetAnnouncement> live() {
        return leases.values().stream()
                .filter(lease -> !lease.departed())
                .map(Lease::announcement)
                .toList();
    }
}
