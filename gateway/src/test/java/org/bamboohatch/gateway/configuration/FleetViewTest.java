package org.bamboohatch.gateway.configuration;

import java.util.List;
import java.util.Optional;

import org.bamboohatch.kernel.id.HostName;
import org.bamboohatch.kernel.id.ServiceName;
import org.bamboohatch.kernel.id.TargetName;
import org.bamboohatch.kernel.id.ZoneName;
import org.bamboohatch.protocol.message.ControlReply.Changes;
import org.bamboohatch.protocol.message.EvacuatedZones;
import org.bamboohatch.protocol.message.TargetAnnouncement;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class FleetViewTest {

    private static TargetAnnouncement target(String name) {
        return new TargetAnnouncement(
                new TargetName(name),
                new ServiceName("portal"),
                new HostName("host"),
                new ZoneName("zone"),
                "127.0.0.1:1",
                1,
                List.of(),
                0,
                4,
                false,
                1);
    }

    private static Changes changes(
            long epoch, long version, List<TargetAnnouncement> joined, List<TargetName> departed) {
        return new Changes(0, List.of(), epoch, version, joined, departed, 0, 0, null, List.of(), List.of(), false);
    }

    private static FleetView apply(FleetView view, Changes changes) {
        return view.apply(changes, Optional.empty());
    }

    /**
     * Guards against a gateway that starts together with a new leader and keeps the two targets of its first poll for
     * three seconds. Until the leader's registry is complete, replies add targets without a new epoch or version.
     */
    @Test
    void targetsAreAddedWithinTheSameVersion() {
        FleetView first = apply(FleetView.EMPTY, changes(0, 0, List.of(target("a")), List.of()));
        FleetView second = apply(first, changes(0, 0, List.of(target("a"), target("b")), List.of()));
        assertThat(second).isNotEqualTo(first);
        assertThat(second.targets()).hasSize(2);
    }

    /** A leader whose registry is incomplete replies with the epoch and version of the poll. */
    @Test
    void otherTargetsAreRetainedUntilTheEpochChanges() {
        FleetView old = apply(FleetView.EMPTY, changes(3, 9, List.of(target("a"), target("b")), List.of()));
        FleetView between = apply(old, changes(3, 9, List.of(target("c")), List.of(new TargetName("b"))));
        assertThat(between.targets().keySet()).containsExactlyInAnyOrder(new TargetName("a"), new TargetName("c"));
        FleetView complete = apply(between, changes(4, 2, List.of(target("c")), List.of()));
        assertThat(complete.targets().keySet()).containsExactly(new TargetName("c"));
    }

    private static Changes withEvacuated(EvacuatedZones evacuated) {
        return new Changes(
                0, List.of(), 3, 1, List.of(), List.of(), 0, 0, null, List.of(), List.of(), false, evacuated, null);
    }

    /** An urgent poll and a regular one, or two leaders, may be answered in another order than they decided. */
    @Test
    void anOlderReplyDoesNotUndoANewerSetOfEvacuatedZones() {
        EvacuatedZones first = EvacuatedZones.of(7, List.of(new ZoneName("zone")));
        EvacuatedZones second = EvacuatedZones.of(8, List.of());
        FleetView view = apply(FleetView.EMPTY, withEvacuated(first));
        assertThat(view.evacuatedZones()).isEqualTo(first);
        assertThat(apply(view, withEvacuated(EvacuatedZones.NONE)).evacuatedZones())
                .isEqualTo(first);
        FleetView ended = apply(view, withEvacuated(second));
        assertThat(ended.evacuatedZones()).isEqualTo(second);
        assertThat(apply(ended, withEvacuated(first)).evacuatedZones()).isEqualTo(second);
    }

    /** Guards against an order that ends because a control process of an earlier version leads. */
    @Test
    void aReplyOfAnOlderControlProcessLeavesTheEvacuatedZones() {
        EvacuatedZones evacuated = EvacuatedZones.of(7, List.of(new ZoneName("zone")));
        FleetView view = apply(FleetView.EMPTY, withEvacuated(evacuated));
        FleetView next = apply(view, changes(4, 2, List.of(target("c")), List.of()));
        assertThat(next.evacuatedZones()).isEqualTo(evacuated);
    }

    /** A copy that was cut off for longer than departures are retained would keep targets that left meanwhile. */
    @Test
    void aWholeMembershipOfTheSameEpochReplacesTheCopy() {
        FleetView old = apply(FleetView.EMPTY, changes(3, 9, List.of(target("a"), target("b")), List.of()));
        Changes whole = new Changes(
                0, List.of(), 3, 40, List.of(target("c")), List.of(), 0, 0, null, List.of(), List.of(), true);
        assertThat(apply(old, whole).targets().keySet()).containsExactly(new TargetName("c"));
    }
}
