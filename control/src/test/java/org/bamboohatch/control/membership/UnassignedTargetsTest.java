package org.bamboohatch.control.membership;

import java.util.List;

import org.bamboohatch.kernel.id.HostName;
import org.bamboohatch.kernel.id.ServiceName;
import org.bamboohatch.kernel.id.TargetName;
import org.bamboohatch.kernel.id.ZoneName;
import org.bamboohatch.protocol.message.TargetAnnouncement;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class UnassignedTargetsTest {

    private final UnassignedTargets targets = new UnassignedTargets();

    private static TargetAnnouncement announcement(int number, String service, long sequence) {
        return new TargetAnnouncement(
                new TargetName("target-" + number),
                new ServiceName(service),
                new HostName("host"),
                new ZoneName("zone"),
                "127.0.0.1:9",
                1,
                List.of(),
                0,
                1,
                false,
                sequence);
    }

    @Test
    void theLatestAnnouncementsOfNamedServicesAreReleased() {
        assertThat(targets.retain(announcement(1, "added", 1), 0)).isTrue();
        assertThat(targets.retain(announcement(1, "added", 2), 10)).isFalse();
        targets.retain(announcement(2, "other", 1), 10);
        assertThat(targets.release(service -> service.value().equals("added"), 20))
                .containsExactly(announcement(1, "added", 2));
        assertThat(targets.release(service -> true, 20)).containsExactly(announcement(2, "other", 1));
    }

    @Test
    void announcementsExpireLikeLeases() {
        targets.retain(announcement(1, "added", 1), 0);
        assertThat(targets.release(service -> false, TargetRegistry.LEASE_MS)).isEmpty();
        assertThat(targets.release(service -> true, TargetRegistry.LEASE_MS + 1))
                .isEmpty();
    }

    @Test
    void theirNumberIsLimited() {
        for (int number = 0; number <= UnassignedTargets.MAX_ANNOUNCEMENTS; number++) {
            targets.retain(announcement(number, "added", 1), 0);
        }
        assertThat(targets.release(service -> true, 0))
                .hasSize(UnassignedTargets.MAX_ANNOUNCEMENTS)
                .doesNotContain(announcement(0, "added", 1));
    }
}
