package org.bamboohatch.control.membership;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

import org.bamboohatch.control.state.TargetDeparture;
import org.bamboohatch.kernel.id.TargetName;
import org.bamboohatch.protocol.message.TargetAnnouncement;

/**
 * Tracks the targets that have a lease from this leader. The leases are not replicated: after a change of leader the
 * targets announce themselves again, and until a whole lease has passed the registry is incomplete. The departures that
 * earlier leaders have acknowledged are known from the start.
 */
public final class TargetRegistry {

    /** Duration of a target's lease, in milliseconds. */
    public static final long LEASE_MS = 3_000;

    /** Time after the last renewal for which a departed target is retained, in milliseconds. */
    static final long TOMBSTONE_RETENTION_MS = 600_000;

    /**
     * Difference between the ends of two announced cold times from which on they are different cold times, in milliseconds.
     * Below it, the difference may be due to the delay of an announcement on its way.
     */
    private static final long COLD_TOLERANCE_MS = 250;

    /** Maximum difference between the clocks of two hosts, in milliseconds. */
    private static final long CLOCK_TOLERANCE_MS = 1_000;

    /** The targets by name, including departed ones that are retained. */
    private final Map<TargetName, Lease> leases = new TreeMap<>();

    /** Number of this registry, the leader's term; larger for later leaders. */
    private final long epoch;

    /** Time from which on the registry is complete, in milliseconds of the monotonic clock. */
    private final long completeAt;

    /** Number of changes of the membership in this epoch. */
    private long version;

    /** The latest known departure of each target; incarnations of deregistered targets are Unix milliseconds. */
    private final Map<TargetName, KnownDeparture> departures = new TreeMap<>();

    /** Highest version of a departure that is no longer retained. */
    private long prunedVersion;

    /**
     * The lease of a target.
     *
     * @param announcement the latest announcement of the target
     * @param renewedAt monotonic time of the last renewal, in milliseconds
     * @param version version of the registry at the last change of the target
     * @param departed whether the target has left, was deregistered or replaced, or let its lease expire
     * @param coldUntil monotonic end of the cold time at the last change of the target, in milliseconds
     */
    private record Lease(
            TargetAnnouncement announcement, long renewedAt, long version, boolean departed, long coldUntil) {

        Lease end(long endVersion) {
            return new Lease(announcement, renewedAt, endVersion, true, coldUntil);
        }

        /**
         * Indicates whether an announcement means another cold time than the last change of the target, rather than the
         * same one that has counted down.
         *
         * @param renewed a later announcement of the target
         * @param now current monotonic time, in milliseconds
         */
        boolean changesColdTime(TargetAnnouncement renewed, long now) {
            long renewedUntil = TargetRegistry.coldUntil(renewed, now);
            boolean eitherCold = Math.max(coldUntil, renewedUntil) > now;
            return eitherCold && Math.abs(Math.max(coldUntil, now) - renewedUntil) > COLD_TOLERANCE_MS;
        }

        boolean hasExpired(long now) {
            return now - renewedAt > LEASE_MS;
        }
    }

    /**
     * A departure that the registry knows.
     *
     * @param departure the departure
     * @param since monotonic time since which it is known, in milliseconds
     */
    private record KnownDeparture(TargetDeparture departure, long since) {}

    /**
     * The difference between the registry and a copy of it.
     *
     * @param epoch epoch of the registry
     * @param version version of the registry that the changes lead to
     * @param full whether the changes are the full membership rather than a difference
     * @param joined targets that joined or changed
     * @param departed targets that left or whose lease ended; empty if the changes are the full membership
     */
    public record Changes(
            long epoch, long version, boolean full, List<TargetAnnouncement> joined, List<TargetName> departed) {}

    /**
     * Creates a registry without leases.
     *
     * @param epoch epoch of the registry, the leader's term
     * @param recorded the departures that were recorded before
     * @param now current monotonic time, in milliseconds
     */
    public TargetRegistry(long epoch, List<TargetDeparture> recorded, long now) {
        this.epoch = epoch;
        this.completeAt = now + LEASE_MS;
        recorded.forEach(departure -> departures.put(departure.target(), new KnownDeparture(departure, now)));
    }

    /**
     * Returns the epoch of the registry.
     *
     * @return the leader's term
     */
    public long epoch() {
        return epoch;
    }

    /**
     * Returns the version of the registry within its epoch.
     *
     * @return the number of changes
     */
    public long version() {
        return version;
    }

    /**
     * Indicates whether every live target has announced itself, as a whole lease has passed since the creation.
     *
     * @param now current monotonic time, in milliseconds
     * @return whether the registry is complete
     */
    public boolean isComplete(long now) {
        return now >= completeAt;
    }

    /**
     * Renews the lease of a target, or ends it if the target is leaving. Announcements from before the departure of a target,
     * those of earlier or replaced incarnations and those that arrive out of order are ignored.
     *
     * @param announcement announcement of the target
     * @param now current monotonic time, in milliseconds
     * @return whether the target changed, beyond the renewal of its lease
     */
    public boolean announce(TargetAnnouncement announcement, long now) {
        Lease known = leases.get(announcement.target());
        KnownDeparture departure = departures.get(announcement.target());
        if (departure != null && departure.departure().precludes(announcement)) {
            return false;
        }
        if (known != null && isStale(announcement, known) || yieldsAddress(announcement, now)) {
            return false;
        }
        boolean changed = known == null
                || known.departed() != announcement.leaving()
                || !known.announcement().equalsIgnoringSequence(announcement)
                || known.changesColdTime(announcement, now);
        if (changed) {
            version++;
        }
        long changedAt = changed ? version : known.version();
        long coldUntil = changed ? coldUntil(announcement, now) : known.coldUntil();
        leases.put(announcement.target(), new Lease(announcement, now, changedAt, announcement.leaving(), coldUntil));
        return changed;
    }

    private static long coldUntil(TargetAnnouncement announcement, long now) {
        return now + (announcement.coldMillis() == null ? 0 : Math.max(0, announcement.coldMillis()));
    }

    /**
     * Indicates whether an announcement was sent before the latest one of its target. An earlier incarnation is
     * accepted only for a departed target and without a sequence number.
     *
     * @param announcement the announcement
     * @param known the lease of the target
     * @return whether the announcement comes from an earlier incarnation or arrived out of order
     */
    private static boolean isStale(TargetAnnouncement announcement, Lease known) {
        TargetAnnouncement latest = known.announcement();
        if (latest.incarnation() != announcement.incarnation()) {
            boolean restarted = announcement.incarnation() > latest.incarnation();
            return !restarted && !known.departed() || !restarted && announcement.sequence() > 0;
        }
        return announcement.sequence() > 0 && announcement.sequence() <= latest.sequence();
    }

    /**
     * Indicates whether an announcement comes from a target that the registry knows, in the service that it knows it in.
     *
     * @param announcement the announcement
     * @return whether the target has a lease of the same incarnation and service
     */
    public boolean isRenewal(TargetAnnouncement announcement) {
        Lease known = leases.get(announcement.target());
        return known != null
                && !known.departed()
                && known.announcement().incarnation() == announcement.incarnation()
                && known.announcement().service().equals(announcement.service());
    }

    /**
     * Resolves conflicts over the address of an announced target. If another target at the address has a later
     * incarnation, the announced target yields, unless the lease of the other one has expired, as it may never have run
     * there; otherwise the leases of the other targets at the address are ended. An announcement without a sequence number
     * does neither.
     *
     * @param announcement the announcement
     * @param now current monotonic time, in milliseconds
     * @return whether the announced target yields the address
     */
    private boolean yieldsAddress(TargetAnnouncement announcement, long now) {
        if (announcement.sequence() == 0) {
            return false;
        }
        for (Map.Entry<TargetName, Lease> entry : leases.entrySet()) {
            TargetAnnouncement other = entry.getValue().announcement();
            boolean sameAddress = other.address().equals(announcement.address())
                    && !other.target().equals(announcement.target());
            if (sameAddress
                    && other.incarnation() > announcement.incarnation()
                    && !entry.getValue().hasExpired(now)) {
                return true;
            }
            if (sameAddress && !entry.getValue().departed()) {
                version++;
                entry.setValue(entry.getValue().end(version));
            }
        }
        return false;
    }

    /**
     * Determines the departure of a target that has stopped. Only a later incarnation of it can return: one later than the
     * last announced, or, if no announcement is known, one that started after the given time less the clock tolerance.
     *
     * @param target name of the target
     * @param wallTime time of the deregistration, in Unix milliseconds
     * @return the departure, which is not known to the registry yet
     */
    public TargetDeparture departureOf(TargetName target, long wallTime) {
        Lease known = leases.get(target);
        return TargetDeparture.deregistered(
                target,
                known == null
                        ? wallTime - CLOCK_TOLERANCE_MS - 1
                        : known.announcement().incarnation());
    }

    /**
     * Ends the lease of a target that has left, and ignores from now on what it announced before.
     *
     * @param departure the departure
     * @param now current monotonic time, in milliseconds
     * @return whether the target had a lease that it loses
     */
    public boolean depart(TargetDeparture departure, long now) {
        KnownDeparture latest = departures.get(departure.target());
        if (latest == null || !latest.departure().includes(departure)) {
            departures.put(departure.target(), new KnownDeparture(departure, now));
        }
        Lease lease = leases.get(departure.target());
        if (lease == null || lease.departed() || !departure.precludes(lease.announcement())) {
            return false;
        }
        version++;
        leases.put(departure.target(), lease.end(version));
        return true;
    }

    /**
     * Ends the expired leases and removes the departures whose retention time has passed.
     *
     * @param now current monotonic time, in milliseconds
     * @return whether any lease was ended
     */
    public boolean sweep(long now) {
        boolean changed = false;
        for (Map.Entry<TargetName, Lease> entry : leases.entrySet()) {
            Lease lease = entry.getValue();
            if (!lease.departed() && lease.hasExpired(now)) {
                version++;
                entry.setValue(lease.end(version));
                changed = true;
            }
        }
        departures.values().removeIf(departure -> now - departure.since() > TOMBSTONE_RETENTION_MS);
        leases.values().removeIf(lease -> {
            boolean expired = lease.departed() && now - lease.renewedAt() > TOMBSTONE_RETENTION_MS;
            if (expired) {
                prunedVersion = Math.max(prunedVersion, lease.version());
            }
            return expired;
        });
        return changed;
    }

    /**
     * Returns the changes since a copy of the registry was made.
     *
     * @param copyEpoch epoch of the copy
     * @param copyVersion version of the copy
     * @param now current monotonic time, in milliseconds
     * @return the changes, or the full membership if the copy is of another epoch or misses departures that are no
     *     longer retained
     */
    public Changes changesSince(long copyEpoch, long copyVersion, long now) {
        boolean full = copyEpoch != epoch || copyVersion < prunedVersion;
        long since = full ? -1 : copyVersion;
        List<TargetAnnouncement> joined = new ArrayList<>();
        List<TargetName> departed = new ArrayList<>();
        leases.forEach((name, lease) -> {
            if (lease.version() > since && !lease.departed()) {
                joined.add(lease.announcement().withColdAge(Math.max(0, now - lease.renewedAt())));
            } else if (lease.version() > since && !full) {
                departed.add(name);
            }
        });
        return new Changes(epoch, version, full, joined, departed);
    }

    /**
     * Returns the targets that have a lease.
     *
     * @return the latest announcement of each, sorted by name
     */
    public Collection<TargetAnnouncement> live() {
        return leases.values().stream()
                .filter(lease -> !lease.departed())
                .map(Lease::announcement)
                .toList();
    }
}
