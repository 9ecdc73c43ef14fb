package org.bamboohatch.control.membership;

import org.bamboohatch.kernel.id.HostName;
import org.bamboohatch.kernel.id.ZoneName;
import org.bamboohatch.protocol.message.ControlRequest.Poll;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class GatewayRegistryTest {

    private static final long EPOCH = 4;

    private static Poll poll(String host, long membership, long fleet) {
        return new Poll(
                new HostName(host),
                new ZoneName("zone-a"),
                0,
                EPOCH,
                membership,
                fleet,
                "127.0.0.1:" + host.length(),
                false);
    }

    private final GatewayRegistry gateways = new GatewayRegistry(EPOCH, 0);

    @Test
    void newLeaderConfirmsNothingBeforeDiscoveryTime() {
        assertThat(gateways.allApplyFleet(1, GatewayRegistry.DISCOVERY_MS - 1)).isFalse();
        assertThat(gateways.allApplyFleet(1, GatewayRegistry.DISCOVERY_MS)).isTrue();
    }

    @Test
    void versionIsConfirmedOnlyByAllLiveGateways() {
        gateways.update(poll("a", 5, 10), 1_000);
        gateways.update(poll("bb", 6, 9), 1_000);
        assertThat(gateways.allApplyFleet(10, 1_100)).isFalse();
        assertThat(gateways.allApplyMembership(6, 1_100)).isFalse();
        gateways.update(poll("a", 6, 10), 1_150);
        gateways.update(poll("bb", 6, 10), 1_200);
        assertThat(gateways.allApplyFleet(10, 1_200)).isTrue();
        assertThat(gateways.allApplyMembership(6, 1_200)).isTrue();
    }

    private static Poll evacuationPoll(String host, Long evacuationVersion) {
        return new Poll(
                new HostName(host), new ZoneName("zone-a"), 0, EPOCH, 5, 10, "127.0.0.1:1", false, evacuationVersion);
    }

    /** Gateways of an earlier version do not apply evacuations, so they must not count as doing so. */
    @Test
    void evacuationIsConfirmedOnlyByAllLiveGateways() {
        gateways.update(evacuationPoll("a", 40L), 1_000);
        gateways.update(evacuationPoll("b", 39L), 1_000);
        assertThat(gateways.allApplyEvacuation(40, 1_100)).isFalse();
        gateways.update(evacuationPoll("b", 41L), 1_100);
        assertThat(gateways.allApplyEvacuation(40, 1_100)).isTrue();
        gateways.update(evacuationPoll("earlier", null), 1_100);
        assertThat(gateways.allApplyEvacuation(40, 1_200)).isFalse();
        assertThat(new GatewayRegistry(EPOCH, 0).allApplyEvacuation(0, GatewayRegistry.DISCOVERY_MS - 1))
                .isFalse();
    }

    @Test
    void gatewayWithoutPollsIsNotWaitedFor() {
        gateways.update(poll("a", 5, 9), 1_000);
        assertThat(gateways.allApplyFleet(10, 1_000 + GatewayRegistry.LIVENESS_TIMEOUT_MS))
                .isFalse();
        assertThat(gateways.allApplyFleet(10, 1_001 + GatewayRegistry.LIVENESS_TIMEOUT_MS))
                .isTrue();
        assertThat(gateways.exchangeAddresses()).containsExactly("127.0.0.1:1");
    }

    @Test
    void membershipVersionOfAnotherEpochConfirmsNothing() {
        gateways.update(
                new Poll(new HostName("a"), new ZoneName("zone-a"), 0, EPOCH - 1, 99, 10, "127.0.0.1:1", false), 1_000);
        assertThat(gateways.allApplyMembership(1, 1_000)).isFalse();
    }
}
