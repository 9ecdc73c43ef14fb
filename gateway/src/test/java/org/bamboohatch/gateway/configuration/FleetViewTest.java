package org.bamboohatch.gateway.configuration;

import java.util.List;
import java.util.Optional;

import org.bamboohatch.kernel.id.HostName;
import org.bamboohatch.kernel.id.ServiceName;
import org.bamboohatch.kernel.id.TargetName;
import org.bamboohatch.kernel.id.ZoneName;
import org.bamboohatch.protocol.message.ControlReply.Changes;
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

    private static Changes changes(long epoch, long version, List<TargetAnnouncement> joined, List<TargetName> gone) {
        return new Changes(0, List.of(), epoch, version, joined, gone, 0, 0, null, List.of(), List.of());
    }

    private static FleetView after(FleetView view, Changes changes) {
        return view.apply(changes, Optional.empty());
    }

    /** A gateway that started beside a new leader once kept the two targets of its first poll for three seconds. */
    @Test
    void targetsThatRegisterAtANewLeaderAreAddedPollByPoll() {
        FleetView first = after(FleetView.EMPTY, changes(0, 0, List.of(target("a")), List.of()));
        FleetView second = after(first, changes(0, 0, List.of(target("a"), target("b")), List.of()));
        assertThat(second).isNotEqualTo(first);
        assertThat(second.targets()).hasSize(2);
    }

    @Test
    void aNewLeaderThatIsNotCompleteTakesNoTargetAway() {
        FleetView old = after(FleetView.EMPTY, changes(3, 9, List.of(target("a"), target("b")), List.of()));
        FleetView between = after(old, changes(3, 9, List.of(target("c")), List.of(new TargetName("b"))));
        assertThat(between.targets().keySet()).containsExactlyInAnyOrder(new TargetName("a"), new TargetName("c"));
        FleetView complete = after(between, changes(4, 2, List.of(target("c")), List.of()));
        assertThat(complete.targets().keySet()).containsExactly(new TargetName("c"));
    }
}
