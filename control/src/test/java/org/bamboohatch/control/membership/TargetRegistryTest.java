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

    private final TargetRegistry registry = new TargetRegistry(5, List.of(), 0);

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
    void renewalIsNotAChange() {
        assertThat(registry.announce(target("a", 1, false), 0)).isTrue();
        assertThat(registry.announce(target("a", 1, false), 100)).isFalse();
    }

    @Test
    void leavingTargetIsReportedAsDeparted() {
        registry.announce(target("a", 1, false), 0);
        long before = registry.changesSince(5, 0, 0).version();
        registry.announce(target("a", 1, true), 100);
        assertThat(registry.changesSince(5, before, 0).departed()).containsExactly(new TargetName("a"));
    }

    @Test
    void targetWithExpiredLeaseDeparts() {
        registry.announce(target("a", 1, false), 0);
        assertThat(registry.sweep(TargetRegistry.LEASE_MS)).isFalse();
        assertThat(registry.sweep(TargetRegistry.LEASE_MS + 1)).isTrue();
        assertThat(registry.live()).isEmpty();
    }

    @Test
    void targetReturnsAfterExpiredLease() {
        registry.announce(target("a", 1, false), 0);
        registry.sweep(TargetRegistry.LEASE_MS + 1);
        assertThat(registry.announce(target("a", 2, false), 5_000)).isTrue();
        assertThat(registry.live()).hasSize(1);
    }

    @Test
    void earlierIncarnationOfLiveTargetIsIgnored() {
        registry.announce(target("a", 2, false), 0);
        assertThat(registry.announce(target("a", 1, true), 10)).isFalse();
        assertThat(registry.live()).hasSize(1);
    }

    @Test
    void copyOfAnotherEpochGetsFullMembership() {
        registry.announce(target("a", 1, false), 0);
        registry.announce(target("b", 1, true), 0);
        TargetRegistry.Changes changes = registry.changesSince(4, 100, 0);
        assertThat(changes.full()).isTrue();
        assertThat(changes.joined()).hasSize(1);
        assertThat(changes.departed()).isEmpty();
    }

    @Test
    void copyOlderThanRetainedDeparturesGetsFullMembership() {
        registry.announce(target("a", 1, false), 0);
        long copy = registry.changesSince(5, 0, 0).version();
        registry.sweep(TargetRegistry.LEASE_MS + 1);
        registry.sweep(TargetRegistry.LEASE_MS + TargetRegistry.TOMBSTONE_RETENTION_MS);
        assertThat(registry.changesSince(5, copy, 0).full()).isTrue();
    }

    @Test
    void registryIsCompleteAfterOneLease() {
        assertThat(registry.isComplete(TargetRegistry.LEASE_MS - 1)).isFalse();
        assertThat(registry.isComplete(TargetRegistry.LEASE_MS)).isTrue();
    }

    private static TargetAnnouncement targetWithSequence(
            String name, String address, long incarnation, long sequence, boolean leaving) {
        return new TargetAnnouncement(
                new TargetName(name),
                new ServiceName("portal"),
                new HostName("host"),
                new ZoneName("zone"),
                address,
                incarnation,
                List.of(),
                0,
                1,
                leaving,
                sequence);
    }

    @Test
    void announcementOutOfOrderIsIgnored() {
        registry.announce(targetWithSequence("a", "127.0.0.1:1", 1, 5, false), 0);
        registry.announce(targetWithSequence("a", "127.0.0.1:1", 1, 7, true), 10);
        assertThat(registry.announce(targetWithSequence("a", "127.0.0.1:1", 1, 6, false), 20))
                .isFalse();
        assertThat(registry.live()).isEmpty();
    }

    private boolean deregister(String name, long wallTime) {
        return registry.depart(registry.departureOf(new TargetName(name), wallTime), 10);
    }

    @Test
    void deregisteredTargetReturnsOnlyWithLaterIncarnation() {
        registry.announce(targetWithSequence("a", "127.0.0.1:1", 100, 5, false), 0);
        assertThat(deregister("a", 50_000)).isTrue();
        assertThat(registry.announce(targetWithSequence("a", "127.0.0.1:1", 100, 9, false), 10))
                .isFalse();
        assertThat(registry.live()).isEmpty();
        assertThat(registry.announce(targetWithSequence("a", "127.0.0.1:1", 101, 1, false), 20))
                .isTrue();
        assertThat(registry.live()).hasSize(1);
    }

    @Test
    void deregistrationOfUnknownTargetRejectsItsEarlierIncarnations() {
        assertThat(deregister("a", 50_000)).isFalse();
        assertThat(registry.announce(targetWithSequence("a", "127.0.0.1:1", 40_000, 9, false), 10))
                .isFalse();
        assertThat(registry.announce(targetWithSequence("a", "127.0.0.1:1", 50_500, 1, false), 10))
                .isTrue();
    }

    @Test
    void addressBelongsToTargetWithLatestIncarnation() {
        registry.announce(targetWithSequence("old", "127.0.0.1:1", 100, 5, false), 0);
        registry.announce(targetWithSequence("new", "127.0.0.1:1", 200, 1, false), 10);
        assertThat(registry.live()).extracting(TargetAnnouncement::target).containsExactly(new TargetName("new"));
        assertThat(registry.announce(targetWithSequence("old", "127.0.0.1:1", 100, 6, false), 20))
                .isFalse();
        assertThat(registry.live()).extracting(TargetAnnouncement::target).containsExactly(new TargetName("new"));
    }

    /** A target that was announced at the address and is not heard of again may never have run there. */
    @Test
    void expiredLeaseOfLaterIncarnationDoesNotBlockAnAddress() {
        registry.announce(targetWithSequence("sound", "127.0.0.1:1", 100, 5, false), 0);
        registry.announce(targetWithSequence("silent", "127.0.0.1:1", 200, 1, false), 10);
        registry.announce(targetWithSequence("sound", "127.0.0.1:1", 100, 6, false), 10 + TargetRegistry.LEASE_MS);
        assertThat(registry.live()).extracting(TargetAnnouncement::target).containsExactly(new TargetName("silent"));
        registry.announce(targetWithSequence("sound", "127.0.0.1:1", 100, 7, false), 11 + TargetRegistry.LEASE_MS);
        assertThat(registry.live()).extracting(TargetAnnouncement::target).containsExactly(new TargetName("sound"));
    }

    private static TargetAnnouncement coldFor(long millis) {
        return target("a", 1, false).withColdMillis(millis);
    }

    /** Targets announce themselves every second; a change each time would reach every gateway. */
    @Test
    void aColdTimeThatCountsDownIsNotAChange() {
        registry.announce(coldFor(5_000), 0);
        assertThat(registry.announce(coldFor(3_800), 1_200)).isFalse();
        assertThat(registry.announce(coldFor(2_500), 2_400))
                .as("delayed by 100 ms less")
                .isFalse();
        assertThat(registry.announce(coldFor(0), 5_100)).isFalse();
        assertThat(registry.announce(coldFor(0), 7_000)).isFalse();
    }

    /** Small differences must not add up over many announcements. */
    @Test
    void aColdTimeThatCountsDownTooSlowlyIsAChangeInTheEnd() {
        registry.announce(coldFor(5_000), 0);
        assertThat(registry.announce(coldFor(4_200), 1_000)).isFalse();
        assertThat(registry.announce(coldFor(3_400), 2_000)).isTrue();
    }

    @Test
    void aTargetThatBecomesColdAgainIsAChange() {
        registry.announce(coldFor(0), 0);
        long copy = registry.version();
        assertThat(registry.announce(coldFor(4_000), 1_000)).isTrue();
        TargetAnnouncement told = registry.changesSince(5, copy, 1_300).joined().get(0);
        assertThat(told.coldMillis()).isEqualTo(4_000);
        assertThat(told.coldAgeMillis()).isEqualTo(300);
    }

    @Test
    void aColdTimeThatEndsEarlyIsAChange() {
        registry.announce(coldFor(5_000), 0);
        assertThat(registry.announce(coldFor(0), 2_000)).isTrue();
        assertThat(registry.announce(coldFor(0), 3_000)).isFalse();
    }

    /** Targets of a build that says nothing of a cold state. */
    @Test
    void anAnnouncementWithoutAColdTimeIsPassedOnAsItIs() {
        registry.announce(target("a", 1, false), 0);
        assertThat(registry.announce(target("a", 1, false), 1_000)).isFalse();
        TargetAnnouncement told = registry.changesSince(5, 0, 1_500).joined().get(0);
        assertThat(told.coldMillis()).isNull();
        assertThat(told.coldAgeMillis()).isNull();
    }
}
