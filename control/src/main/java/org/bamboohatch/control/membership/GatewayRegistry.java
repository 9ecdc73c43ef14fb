package org.bamboohatch.control.membership;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;

import org.bamboohatch.protocol.message.ControlRequest.Poll;

/** The gateways that this leader has heard, and how far each has followed the configuration and the membership. */
public final class GatewayRegistry {

    /** Silence after which a gateway is not waited for, in milliseconds; three polls that found no news. */
    static final long PRESENCE_MS = 1_500;

    /** Silence after which a gateway is forgotten, in milliseconds. */
    static final long RETENTION_MS = 10_000;

    /** Time in which every live gateway polls at least once, in milliseconds. */
    static final long COMPLETE_MS = 700;

    /** The gateways by name. */
    private final Map<String, Gateway> gateways = new TreeMap<>();

    /** Time at which every live gateway must have been heard. */
    private final long completeAt;

    /** Epoch of the membership that this leader keeps. */
    private final long epoch;

    /**
     * One gateway.
     *
     * @param exchangeAddress address at which it takes load reports
     * @param fleetVersion version of the fleet configuration that it applies
     * @param membershipVersion version of the membership that it applies, negative if it is of another epoch
     * @param heardAt time of its last poll
     */
    private record Gateway(String exchangeAddress, long fleetVersion, long membershipVersion, long heardAt) {}

    /**
     * Creates an empty registry.
     *
     * @param epoch epoch of the membership
     * @param now the present time
     */
    public GatewayRegistry(long epoch, long now) {
        this.epoch = epoch;
        this.completeAt = now + COMPLETE_MS;
    }

    /**
     * Takes note of a poll.
     *
     * @param poll the poll
     * @param now the present time
     */
    public void hear(Poll poll, long now) {
        if (poll.exchangeAddress().isEmpty()) {
            return;
        }
        long membership = poll.epoch() == epoch ? poll.version() : -1;
        gateways.values().removeIf(gateway -> now - gateway.heardAt() > RETENTION_MS);
        gateways.put(poll.holder().value(), new Gateway(poll.exchangeAddress(), poll.fleetVersion(), membership, now));
    }

    /**
     * Lists the addresses at which gateways take load reports.
     *
     * @return the addresses in order
     */
    public List<String> exchangeAddresses() {
        return gateways.values().stream().map(Gateway::exchangeAddress).sorted().toList();
    }

    /**
     * Tells whether every gateway that is present applies a version of the fleet configuration.
     *
     * @param version the version
     * @param now the present time
     * @return whether none applies an older one
     */
    public boolean haveFleet(long version, long now) {
        return now >= completeAt
                && gateways.values().stream()
                        .allMatch(gateway -> !isPresent(gateway, now) || gateway.fleetVersion() >= version);
    }

    /**
     * Tells whether every gateway that is present applies a version of the membership.
     *
     * @param version the version
     * @param now the present time
     * @return whether none applies an older one
     */
    public boolean haveMembership(long version, long now) {
        return now >= completeAt
                && gateways.values().stream()
                        .allMatch(gateway -> !isPresent(gateway, now) || gateway.membershipVersion() >= version);
    }

    /**
     * Tells whether a gateway has polled lately.
     *
     * @param gateway the gateway
     * @param now the present time
     * @return whether it is waited for
     */
    private static boolean isPresent(Gateway gateway, long now) {
        return now - gateway.heardAt() <= PRESENCE_MS;
    }
}
