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
    void aNewLeaderWaitsUntilEveryGatewayMustHavePolled() {
        assertThat(gateways.haveFleet(1, GatewayRegistry.COMPLETE_MS - 1)).isFalse();
        assertThat(gateways.haveFleet(1, GatewayRegistry.COMPLETE_MS)).isTrue();
    }

    @Test
    void everyPresentGatewayMustFollow() {
        gateways.hear(poll("a", 5, 10), 1_000);
        gateways.hear(poll("bb", 6, 9), 1_000);
        assertThat(gateways.haveFleet(10, 1_100)).isFalse();
        assertThat(gateways.haveMembership(6, 1_100)).isFalse();
        gateways.hear(poll("a", 6, 10), 1_150);
        gateways.hear(poll("bb", 6, 10), 1_200);
        assertThat(gateways.haveFleet(10, 1_200)).isTrue();
        assertThat(gateways.haveMembership(6, 1_200)).isTrue();
    }

    @Test
    void aSilentGatewayIsNotWaitedFor() {
        gateways.hear(poll("a", 5, 9), 1_000);
        assertThat(gateways.haveFleet(10, 1_000 + GatewayRegistry.PRESENCE_MS)).isFalse();
        assertThat(gateways.haveFleet(10, 1_001 + GatewayRegistry.PRESENCE_MS)).isTrue();
        assertThat(gateways.exchangeAddresses()).containsExactly("127.0.0.1:1");
    }

    @Test
    void aCopyOfAnotherEpochFollowsNothing() {
        gateways.hear(
                new Poll(new HostName("a"), new ZoneName("zone-a"), 0, EPOCH - 1, 99, 10, "127.0.0.1:1", false), 1_000);
        assertThat(gateways.haveMembership(1, 1_000)).isFalse();
    }
}
