package org.bamboohatch.control.membership;

import org.bamboohatch.kernel.id.ZoneName;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class SubscriberRegistryTest {

    private static final ZoneName NEAR = new ZoneName("near");
    private static final ZoneName FAR = new ZoneName("far");

    private final SubscriberRegistry subscribers = new SubscriberRegistry(0);

    @Test
    void zoneIsPendingUntilAllItsSubscribersConfirm() {
        subscribers.update("a", NEAR, true, 2, 0);
        subscribers.update("b", FAR, false, 1, 0);
        assertThat(subscribers.pendingZones(2, 0)).containsExactly(FAR);
        subscribers.update("b", FAR, false, 2, 10);
        assertThat(subscribers.pendingZones(2, 10)).isEmpty();
    }

    @Test
    void subscriberWithoutMessagesIsWaitedForWhileItMayAdmitRequests() {
        subscribers.update("b", FAR, true, 1, 0);
        assertThat(subscribers.pendingZones(2, SubscriberRegistry.ADMISSION_LEASE_MS))
                .containsExactly(FAR);
        assertThat(subscribers.pendingZones(2, SubscriberRegistry.LEASE_MS + 1)).isEmpty();
    }

    @Test
    void admissionLeaseEndsBeforeSubscriberLease() {
        double drift = 1.1;
        assertThat(SubscriberRegistry.ADMISSION_LEASE_MS * drift).isLessThan(SubscriberRegistry.LEASE_MS);
    }

    @Test
    void onlySubscribersThatAdmitRequestsCountAsEntries() {
        subscribers.update("a", NEAR, true, 1, 0);
        subscribers.update("b", NEAR, false, 1, 0);
        assertThat(subscribers.entries()).isEqualTo(1);
    }
}
