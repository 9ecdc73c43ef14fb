package org.bamboohatch.control.membership;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;

import org.bamboohatch.protocol.message.ControlRequest.Poll;

/** Tracks the gateways that poll this leader, and the versions of the configuration and the membership they apply. */
public final class GatewayRegistry {

    /**
     * Time without a poll after which a gateway is no longer waited for, in milliseconds; the duration of three polls
     * that are answered without a change.
     */
    static final long LIVENESS_TIMEOUT_MS = 1_500;

    /** Time without a poll after which a gateway is removed, in milliseconds. */
    static final long RETENTION_MS = 10_000;

    /** Time within which every live gateway polls a new leader at least once, in milliseconds. */
    static final long DISCOVERY_MS = 700;

    /** The gateways by name. */
    private final Map<String, Gateway> gateways = new TreeMap<>();

    /** Time from which on every live gateway has polled at least once, in milliseconds of the monotonic clock. */
    private final long completeAt;

    /** Epoch of this leader's membership, which is its term. */
    private final long epoch;

    /**
     * A gateway as of its last poll.
     *
     * @param exchangeAddress address at which the gateway receives load reports
     * @param fleetVersion version of the fleet configuration that it applies
     * @param membershipVersion version of the membership that it applies, negative if it is of another epoch
     * @param evacuationVersion version of the evacuated zones that it applies, negative if it does not use them
     * @param polledAt monotonic time of the poll, in milliseconds
     */
    private record Gateway(
            String exchangeAddress, long fleetVersion, long membershipVersion, long evacuationVersion, long polledAt) {}

    /**
     * Creates an empty registry.
     *
     * @param epoch epoch of this leader's membership, its term
     * @param now current monotonic time, in milliseconds
     */
    public GatewayRegistry(long epoch, long now) {
        this.epoch = epoch;
        this.completeAt = now + DISCOVERY_MS;
    }

    /**
     * Records a poll of a gateway and removes the gateways that have not polled within the retention time. A poll
     * without an exchange address comes from another kind of subscriber and is ignored.
     *
     * @param poll the poll
     * @param now current monotonic time, in milliseconds
     */
    public void update(Poll poll, long now) {
        if (poll.exchangeAddress().isEmpty()) {
            return;
        }
        long membership = poll.epoch() == epoch ? poll.version() : -1;
        gateways.values().removeIf(gateway -> now - gateway.polledAt() > RETENTION_MS);
        long evacuation = poll.evacuationVersion() == null ? -1 : poll.evacuationVersion();
        gateways.put(
                poll.holder().value(),
                new Gateway(poll.exchangeAddress(), poll.fleetVersion(), membership, evacuation, now));
    }

    /**
     * Returns the addresses at which the gateways receive load reports.
     *
     * @return the addresses, sorted
     */
    public List<String> exchangeAddresses() {
        return gateways.values().stream().map(Gateway::exchangeAddress).sorted().toList();
    }

    /**
     * Indicates whether every live gateway applies a version of the fleet configuration or a later one.
     *
     * @param version the version
     * @param now current monotonic time, in milliseconds
     * @return false as well while a new leader cannot know every live gateway yet
     */
    public boolean allApplyFleet(long version, long now) {
        return now >= completeAt
                && gateways.values().stream()
                        .allMatch(gateway -> !isLive(gateway, now) || gateway.fleetVersion() >= version);
    }

    /**
     * Indicates whether every live gateway applies a version of the membership or a later one.
     *
     * @param version the version
     * @param now current monotonic time, in milliseconds
     * @return false as well while a new leader cannot know every live gateway yet
     */
    public boolean allApplyMembership(long version, long now) {
        return now >= completeAt
                && gateways.values().stream()
                        .allMatch(gateway -> !isLive(gateway, now) || gateway.membershipVersion() >= version);
    }

    /**
     * Indicates whether every live gateway applies a version of the evacuated zones or a later one.
     *
     * @param version the version
     * @param now current monotonic time, in milliseconds
     * @return false as well while a new leader cannot know every live gateway yet, or if a gateway does not use the zones
     */
    public boolean allApplyEvacuation(long version, long now) {
        return now >= completeAt
                && gateways.values().stream()
                        .allMatch(gateway -> !isLive(gateway, now) || gateway.evacuationVersion() >= version);
    }

    private static boolean isLive(Gateway gateway, long now) {
        return now - gateway.polledAt() <= LIVENESS_TIMEOUT_MS;
    }
}
