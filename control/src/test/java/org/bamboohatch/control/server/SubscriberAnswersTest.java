package org.bamboohatch.control.server;

import java.util.List;

import org.bamboohatch.control.state.ControlStateMachine;
import org.bamboohatch.kernel.id.HostName;
import org.bamboohatch.kernel.id.ServiceName;
import org.bamboohatch.kernel.id.TargetName;
import org.bamboohatch.kernel.id.ZoneName;
import org.bamboohatch.protocol.message.ControlReply;
import org.bamboohatch.protocol.message.ControlRequest.Poll;
import org.bamboohatch.protocol.message.TargetAnnouncement;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class SubscriberAnswersTest {

    private static final long TERM = 3;

    private final SubscriberAnswers answers = new SubscriberAnswers(new ControlStateMachine());

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

    @Test
    void pollIsHeldForFullTimeOnceMembershipCanBeSent() {
        assertThat(answers.holdMillis(poll(0), leader, 60_000)).isEqualTo(500);
        assertThat(answers.holdMillis(poll(TERM), leader, 200)).isEqualTo(500);
    }
}
