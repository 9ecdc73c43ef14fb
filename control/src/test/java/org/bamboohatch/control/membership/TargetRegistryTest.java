package org.bamboohatch.control.membership;

import java.util.List;

import org.bamboohatch.kernel.id.HostName;
import org.bamboohatch.kernel.id.ServiceName;
import org.bamboohatch.kernel.id.TargetName;
import org.bamboohatch.kernel.id.ZoneName;
import org.bamboohatch.protocol.message.TargetAnnouncement;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class TargetRegistryTest {

    private final TargetRegistry registry = new TargetRegistry(5, 0);

    private static TargetAnnouncement target(String name, long incarnation, boolean leaving) {
        return new TargetAnnouncement(
                new TargetName(name),
                new ServiceName("portal"),
                new HostName("host"),
                new ZoneName("zone"),
                "127.0.0.1:1",
                incarnation,
                List.of(),
                0,
                1,
                leaving);
    }

    @Test
    void aRenewalIsNoChange() {
        assertThat(registry.announce(target("a", 1, false), 0)).isTrue();
        assertThat(registry.announce(target("a", 1, false), 100)).isFalse();
    }

    @Test
    void aLeaveIsAChangeThatIsTold() {
        registry.announce(target("a", 1, false), 0);
        long before = registry.changesSince(5, 0).version();
        registry.announce(target("a", 1, true), 100);
        assertThat(registry.changesSince(5, before).departed()).containsExactly(new TargetName("a"));
    }

    @Test
    void aLapsedLeaseIsADeath() {
        registry.announce(target("a", 1, false), 0);
        assertThat(registry.sweep(TargetRegistry.LEASE_MS)).isFalse();
        assertThat(registry.sweep(TargetRegistry.LEASE_MS + 1)).isTrue();
        assertThat(registry.live()).isEmpty();
    }

    @Test
    void aDeadTargetComesBack() {
        registry.announce(target("a", 1, false), 0);
        registry.sweep(TargetRegistry.LEASE_MS + 1);
        assertThat(registry.announce(target("a", 2, false), 5_000)).isTrue();
        assertThat(registry.live()).hasSize(1);
    }

    @Test
    void anOlderStartOfALiveTargetIsIgnored() {
        registry.announce(target("a", 2, false), 0);
        assertThat(registry.announce(target("a", 1, true), 10)).isFalse();
        assertThat(registry.live()).hasSize(1);
    }

    @Test
    void aCopyOfAnotherEpochGetsTheWholeMembership() {
        registry.announce(target("a", 1, false), 0);
        registry.announce(target("b", 1, true), 0);
        TargetRegistry.Changes changes = registry.changesSince(4, 100);
        assertThat(changes.complete()).isTrue();
        assertThat(changes.joined()).hasSize(1);
        assertThat(changes.departed()).isEmpty();
    }

    @Test
    void aCopyOlderThanTheForgottenDeparturesGetsTheWholeMembership() {
        registry.announce(target("a", 1, false), 0);
        long copy = registry.changesSince(5, 0).version();
        registry.sweep(TargetRegistry.LEASE_MS + 1);
        registry.sweep(TargetRegistry.LEASE_MS + TargetRegistry.TOMBSTONE_MS);
        assertThat(registry.changesSince(5, copy).complete()).isTrue();
    }

    @Test
    void theRegistryIsCompleteAfterAWholeLease() {
        assertThat(registry.isComplete(TargetRegistry.LEASE_MS - 1)).isFalse();
        assertThat(registry.isComplete(TargetRegistry.LEASE_MS)).isTrue();
    }
}
