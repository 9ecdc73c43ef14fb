package org.bamboohatch.control.membership;

import org.bamboohatch.kernel.id.ZoneName;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class SubscriberRegistryTest {

    private static final ZoneName NEAR = new ZoneName("near");
    private static final ZoneName FAR = new ZoneName("far");

    private final SubscriberRegistry holders = new SubscriberRegistry(0);

    @Test
    void aZoneIsPendingUntilEveryHolderConfirms() {
        holders.hear("a", NEAR, true, 2, 0);
        holders.hear("b", FAR, false, 1, 0);
        assertThat(holders.pendingZones(2, 0)).containsExactly(FAR);
        holders.hear("b", FAR, false, 2, 10);
        assertThat(holders.pendingZones(2, 10)).isEmpty();
    }

    @Test
    void aSilentHolderIsWaitedForAsLongAsItMayAdmit() {
        holders.hear("b", FAR, true, 1, 0);
        assertThat(holders.pendingZones(2, SubscriberRegistry.ADMISSION_LEASE_MS))
                .containsExactly(FAR);
        assertThat(holders.pendingZones(2, SubscriberRegistry.LEASE_MS + 1)).isEmpty();
    }

    @Test
    void theAdmissionLeaseEndsBeforeTheHolderLease() {
        double drift = 1.1;
        assertThat(SubscriberRegistry.ADMISSION_LEASE_MS * drift).isLessThan(SubscriberRegistry.LEASE_MS);
    }

    @Test
    void onlyEntriesCountAsEntries() {
        holders.hear("a", NEAR, true, 1, 0);
        holders.hear("b", NEAR, false, 1, 0);
        assertThat(holders.entries()).isEqualTo(1);
    }
}
