package org.bamboohatch.control.state;

import java.util.ArrayList;
import java.util.List;

import org.bamboohatch.control.membership.TargetRegistry;
import org.bamboohatch.kernel.id.HostName;
import org.bamboohatch.kernel.id.ServiceName;
import org.bamboohatch.kernel.id.TargetName;
import org.bamboohatch.kernel.id.ZoneName;
import org.bamboohatch.protocol.message.MessageCodec;
import org.bamboohatch.protocol.message.TargetAnnouncement;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against targets that have left, whose departure was acknowledged, and that a late announcement brings back under the
 * next leader: they were sent work, and it was lost when they ended.
 */
class DepartureStateMachineTest {

    private static final TargetName TARGET = new TargetName("a");

    private final ControlStateMachine stateMachine = new ControlStateMachine();

    private static TargetAnnouncement announcement(long incarnation, long sequence, boolean leaving) {
        return new TargetAnnouncement(
                TARGET,
                new ServiceName("portal"),
                new HostName("host"),
                new ZoneName("zone"),
                "127.0.0.1:1",
                incarnation,
                List.of(),
                0,
                1,
                leaving,
                sequence);
    }

    private void record(TargetDeparture departure, long time) {
        stateMachine.apply(time, ControlStateMachine.encode(Command.recording(time, departure)));
    }

    private TargetRegistry registryOfNextLeader() {
        return new TargetRegistry(6, stateMachine.departures().all(), 0);
    }

    @Test
    void aDeregisteredTargetIsUnknownToTheNextLeaderHoweverLateItsAnnouncementsAre() {
        record(TargetDeparture.deregistered(TARGET, 100), 1);
        TargetRegistry registry = registryOfNextLeader();
        assertThat(registry.announce(announcement(100, 9, false), 10)).isFalse();
        assertThat(registry.live()).isEmpty();
        assertThat(registry.announce(announcement(101, 1, false), 20)).isTrue();
    }

    @Test
    void aTargetThatAnnouncedItsDepartureDoesNotReturnByAnEarlierAnnouncement() {
        record(TargetDeparture.of(announcement(100, 7, true)), 1);
        TargetRegistry registry = registryOfNextLeader();
        assertThat(registry.announce(announcement(100, 6, false), 10)).isFalse();
        assertThat(registry.live()).isEmpty();
        assertThat(registry.announce(announcement(100, 8, false), 20)).isTrue();
    }

    /** A leader may hear a target before it has applied all that earlier leaders have acknowledged. */
    @Test
    void aDepartureThatIsAppliedLaterEndsTheLease() {
        TargetRegistry registry = registryOfNextLeader();
        stateMachine.onDeparture(departure -> registry.depart(departure, 20));
        registry.announce(announcement(100, 6, false), 10);
        record(TargetDeparture.of(announcement(100, 7, true)), 1);
        assertThat(registry.live()).isEmpty();
        assertThat(registry.changesSince(6, 1, 0).departed()).containsExactly(TARGET);
    }

    @Test
    void departuresAreInSnapshots() {
        record(TargetDeparture.deregistered(TARGET, 100), 1);
        ControlStateMachine restored = new ControlStateMachine();
        restored.restore(stateMachine.snapshot());
        assertThat(restored.departures().find(TARGET)).contains(TargetDeparture.deregistered(TARGET, 100));
    }

    /** A command as replicas wrote it that recorded no departures. */
    private record EarlierCommand(long time, Command.Evict request) {}

    @Test
    void commandsOfEarlierReplicasRecordNothing() {
        stateMachine.apply(1, MessageCodec.instance().encode(new EarlierCommand(1, new Command.Evict(Long.MIN_VALUE))));
        assertThat(stateMachine.departures().all()).isEmpty();
    }

    @Test
    void theLatestDepartureOfATargetCounts() {
        record(TargetDeparture.deregistered(TARGET, 100), 1);
        record(TargetDeparture.of(announcement(100, 7, true)), 2);
        assertThat(stateMachine.departures().find(TARGET)).contains(TargetDeparture.deregistered(TARGET, 100));
        record(TargetDeparture.of(announcement(200, 1, true)), 3);
        assertThat(stateMachine.departures().find(TARGET)).contains(TargetDeparture.of(announcement(200, 1, true)));
    }

    @Test
    void departuresAreForgottenAfterTheirRetention() {
        record(TargetDeparture.deregistered(TARGET, 100), 1);
        TargetDeparture later = TargetDeparture.deregistered(new TargetName("b"), 100);
        record(later, 2 + DepartureStateMachine.RETENTION_MS);
        assertThat(stateMachine.departures().all()).containsExactly(later);
    }

    @Test
    void theNumberOfDeparturesIsLimited() {
        List<TargetDeparture> latest = new ArrayList<>();
        for (int number = 0; number <= DepartureStateMachine.MAX_DEPARTURES; number++) {
            TargetDeparture departure = TargetDeparture.deregistered(new TargetName("t" + number), 100);
            record(departure, 1);
            latest.add(departure);
        }
        assertThat(stateMachine.departures().all()).isEqualTo(latest.subList(1, latest.size()));
    }
}
