package org.bamboohatch.gateway.target;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import org.bamboohatch.kernel.id.TargetIncarnation;

/**
 * The targets that have reported, to this gateway or to another one, that they are about to end. Confined to the callers'
 * event loop.
 */
public final class LeavingTargets {

    /** Time for which a leaving target is remembered, in milliseconds; a target that leaves has ended long before. */
    private static final long RETENTION_MS = 600_000;

    /** Time of the report by target, the oldest first. */
    private final Map<TargetIncarnation, Long> reportedAt = new LinkedHashMap<>();

    /** Targets that told this gateway and that it has not reported to others. */
    private final List<TargetIncarnation> unreported = new ArrayList<>();

    /** Creates an empty set. */
    public LeavingTargets() {}

    /**
     * Adds a target that has told this gateway that it is about to end.
     *
     * @param incarnation the incarnation that ends
     * @param now current time, in milliseconds
     * @return whether it was not known to be leaving
     */
    public boolean add(TargetIncarnation incarnation, long now) {
        boolean added = addReported(incarnation, now);
        if (added) {
            unreported.add(incarnation);
        }
        return added;
    }

    /**
     * Adds a target that another gateway has reported.
     *
     * @param incarnation the incarnation that ends
     * @param now current time, in milliseconds
     * @return whether it was not known to be leaving
     */
    public boolean addReported(TargetIncarnation incarnation, long now) {
        reportedAt.values().removeIf(reported -> reported < now - RETENTION_MS);
        return reportedAt.putIfAbsent(incarnation, now) == null;
    }

    /**
     * Indicates whether a target is leaving.
     *
     * @param address address of an incarnation
     * @return whether this incarnation has reported that it is about to end
     */
    public boolean contains(TargetAddress address) {
        return !reportedAt.isEmpty() && reportedAt.containsKey(address.toIncarnation());
    }

    /**
     * Returns the targets that were added since the previous call.
     *
     * @return the targets to report to other gateways
     */
    public List<TargetIncarnation> takeUnreported() {
        List<TargetIncarnation> taken = List.copyOf(unreported);
        unreported.clear();
        return taken;
    }

    /**
     * Returns the targets that were added recently.
     *
     * @param since the earliest time, in milliseconds
     * @return the targets that were added at or after it
     */
    public List<TargetIncarnation> addedSince(long since) {
        return reportedAt.entrySet().stream()
                .filter(target -> target.getValue() >= since)
                .map(Map.Entry::getKey)
                .toList();
    }
}
