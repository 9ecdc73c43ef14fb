package org.bamboohatch.control.server;

import java.util.List;

import org.bamboohatch.control.state.Command;
import org.bamboohatch.control.state.ControlStateMachine;
import org.bamboohatch.kernel.id.HostName;
import org.bamboohatch.kernel.id.RequestTrait;
import org.bamboohatch.kernel.id.ServiceName;
import org.bamboohatch.kernel.id.TargetName;
import org.bamboohatch.kernel.id.ZoneName;
import org.bamboohatch.protocol.message.ControlReply;
import org.bamboohatch.protocol.message.ControlRequest;
import org.bamboohatch.protocol.message.ControlRequest.Poll;
import org.bamboohatch.protocol.message.CrashEvidence;
import org.bamboohatch.protocol.message.EvacuatedZones;
import org.bamboohatch.protocol.message.TargetAnnouncement;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class SubscriberAnswersTest {

    private static final long TERM = 3;

    private static final ZoneName EVACUATED = new ZoneName("zone-b");

    private final ControlStateMachine stateMachine = new ControlStateMachine();

    private final SubscriberAnswers answers = new SubscriberAnswers(stateMachine);

    private final LeaderState leader = new LeaderState(TERM, List.of(), 0, 0);

    private static Poll poll(long epoch) {
        return new Poll(new HostName("gateway-1"), new ZoneName("zone-a"), 0, epoch, 0, 45, "127.0.0.1:1", false);
    }

    @Test
    void pollIsHeldOnlyShortlyWhileRegistryOfNewLeaderIsIncomplete() {
        assertThat(answers.holdMillis(poll(0), leader, 200)).isLessThanOrEqualTo(100);
        assertThat(answers.holdMillis(poll(TERM - 1), leader, 200)).isLessThanOrEqualTo(100);
    }

    /** Each reply then carries all targets, so with a fixed hold the bytes per second grow with the fleet. */
    @Test
    void pollIsHeldLongerTheMoreTargetsANewLeaderKnows() {
        for (int number = 0; number < 195; number++) {
            leader.targets().announce(announcement(number), 100);
        }
        assertThat(answers.holdMillis(poll(0), leader, 200)).isBetween(300L, 500L);
        for (int number = 195; number < 1_600; number++) {
            leader.targets().announce(announcement(number), 100);
        }
        assertThat(answers.holdMillis(poll(0), leader, 200)).isEqualTo(500);
    }

    @Test
    void aReplyWithoutForgottenDeparturesIsMarkedAsWhole() {
        leader.targets().announce(announcement(1), 0);
        leader.targets().announce(announcement(2), 0);
        long pruned = 1_000_000;
        leader.targets().sweep(pruned / 2);
        leader.targets().sweep(pruned);
        leader.targets().announce(announcement(3), pruned);
        ControlReply.Changes reply = (ControlReply.Changes) answers.changes(poll(TERM), leader, List.of(), pruned);
        assertThat(reply.whole()).isTrue();
        assertThat(reply.joined()).hasSize(1);
    }

    /** Guards against a gateway that forwards requests which have ended targets before it was started. */
    @Test
    void aGatewayThatStartsIsToldOfRequestsThatEndTargets() {
        CrashEvidence evidence = new CrashEvidence(
                List.of(new CrashEvidence.Crash(
                        new TargetName("engine-1"), 1, 0, List.of(RequestTrait.ofContent("deadly")), false)),
                List.of());
        stateMachine.apply(1, ControlStateMachine.encode(Command.recording(0, evidence)));
        Poll first = new Poll(
                new HostName("gateway-1"), new ZoneName("zone-a"), 0, 0, 0, Poll.NO_FLEET, "127.0.0.1:1", false);
        assertThat(((ControlReply.Changes) answers.changes(first, leader, List.of(), 0)).crashes())
                .isEqualTo(evidence);
        assertThat(((ControlReply.Changes) answers.changes(poll(TERM), leader, List.of(), 0)).crashes())
                .isNull();
    }

    private static TargetAnnouncement announcement(int number) {
        return new TargetAnnouncement(
                new TargetName("engine-" + number),
                new ServiceName("engines"),
                new HostName("host"),
                new ZoneName("zone-a"),
                "127.0.0.1:" + (10_000 + number),
                1,
                List.of(),
                0,
                4,
                false,
                1);
    }

    private static Poll poll(long epoch, Long evacuationVersion) {
        Poll poll = poll(epoch);
        return new Poll(
                poll.holder(),
                poll.zone(),
                poll.appliedRevision(),
                poll.epoch(),
                poll.version(),
                poll.fleetVersion(),
                poll.exchangeAddress(),
                poll.urgent(),
                evacuationVersion);
    }

    private void evacuate(long wallTime) {
        stateMachine.apply(
                1,
                ControlStateMachine.encode(
                        new Command(1, new ControlRequest.ChangeEvacuation(EVACUATED, true, wallTime))));
    }

    private EvacuatedZones evacuated(Poll poll, long now) {
        return ((ControlReply.Changes) answers.changes(poll, leader, List.of(), now)).evacuated();
    }

    /**
     * A gateway that starts beside a new leader would otherwise send to evacuated targets until the registry is complete.
     */
    @Test
    void everyReplyHasAllEvacuatedZonesAlsoWhileTheRegistryIsIncomplete() {
        assertThat(evacuated(poll(0, 0L), 200)).isEqualTo(EvacuatedZones.NONE);
        evacuate(50);
        EvacuatedZones expected = EvacuatedZones.of(50, List.of(EVACUATED));
        assertThat(evacuated(poll(TERM - 1, 0L), 200)).isEqualTo(expected);
        assertThat(evacuated(poll(TERM, 50L), 60_000)).isEqualTo(expected);
        assertThat(evacuated(poll(TERM), 60_000)).isEqualTo(expected);
    }

    @Test
    void aChangeOfTheEvacuatedZonesEndsTheHoldOfAPoll() {
        evacuate(50);
        assertThat(answers.hasChanges(poll(TERM, 49L), leader, 200)).isTrue();
        assertThat(answers.hasChanges(poll(TERM, 50L), leader, 200)).isFalse();
    }

    /** A gateway of an earlier version can never apply the set, so replies at once would make it poll without a pause. */
    @Test
    void pollsOfEarlierVersionsAreHeldAlthoughTheyDoNotApplyTheEvacuatedZones() {
        evacuate(50);
        assertThat(answers.hasChanges(poll(TERM), leader, 200)).isFalse();
    }

    @Test
    void pollIsHeldForFullTimeOnceMembershipCanBeSent() {
        assertThat(answers.holdMillis(poll(0), leader, 60_000)).isEqualTo(500);
        assertThat(answers.holdMillis(poll(TERM), leader, 200)).isEqualTo(500);
    }
}
