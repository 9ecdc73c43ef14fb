package org.bamboohatch.entry.configuration;

import java.util.List;

import org.bamboohatch.kernel.id.HostName;
import org.bamboohatch.kernel.id.ServiceName;
import org.bamboohatch.kernel.id.TargetName;
import org.bamboohatch.kernel.id.ZoneName;
import org.bamboohatch.kernel.service.Invariant;
import org.bamboohatch.protocol.message.ControlReply.Changes;
import org.bamboohatch.protocol.message.DocumentVersion;
import org.bamboohatch.protocol.message.TargetAnnouncement;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

class RoutingSnapshotTest {

    private static final ServiceName PORTAL = new ServiceName("portal");

    private static DocumentVersion document(long revision, String description) {
        String text = "service: portal\nkind: plain\naccounts: []\ndescription: " + description + "\n";
        return new DocumentVersion(PORTAL, revision, text);
    }

    private static Changes changes(
            long revision, long epoch, List<TargetAnnouncement> joined, DocumentVersion... documents) {
        return new Changes(
                revision, List.of(documents), epoch, 1, joined, List.of(), 5, 2, null, List.of(), List.of(), false);
    }

    private static TargetAnnouncement target(String name) {
        return new TargetAnnouncement(
                new TargetName(name),
                PORTAL,
                new HostName("h"),
                new ZoneName("z"),
                "127.0.0.1:1",
                1,
                List.of(),
                0,
                1,
                false);
    }

    @Test
    void rejectsDecreasingRevision() {
        RoutingSnapshot snapshot = RoutingSnapshot.EMPTY.apply(changes(5, 1, List.of()), 0);
        assertThatThrownBy(() -> snapshot.apply(changes(4, 1, List.of()), 0)).isInstanceOf(Invariant.Violation.class);
    }

    @Test
    void ignoresOlderDocument() {
        RoutingSnapshot snapshot = RoutingSnapshot.EMPTY
                .apply(changes(5, 1, List.of(), document(5, "new")), 0)
                .apply(changes(5, 1, List.of(), document(4, "old")), 0);
        assertThat(snapshot.services().get(PORTAL).document().description()).isEqualTo("new");
    }

    @Test
    void newEpochReplacesTargets() {
        RoutingSnapshot snapshot = RoutingSnapshot.EMPTY
                .apply(changes(1, 1, List.of(target("a"))), 0)
                .apply(changes(1, 2, List.of(target("b"))), 0);
        assertThat(snapshot.targets()).containsOnlyKeys(new TargetName("b"));
    }

    @Test
    void isFreshUntilMaximumAge() {
        RoutingSnapshot snapshot = RoutingSnapshot.EMPTY.apply(changes(1, 1, List.of()), 1_000);
        assertThat(snapshot.isFresh(1_000 + RoutingSnapshot.MAX_AGE_MS)).isTrue();
        assertThat(snapshot.isFresh(1_001 + RoutingSnapshot.MAX_AGE_MS)).isFalse();
        assertThat(RoutingSnapshot.EMPTY.isFresh(0)).isFalse();
    }
}
