package org.bamboohatch.control.server;

import org.bamboohatch.control.state.ControlStateMachine;
import org.bamboohatch.kernel.id.HostName;
import org.bamboohatch.kernel.id.ZoneName;
import org.bamboohatch.protocol.message.ControlRequest.Poll;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class SubscriberAnswersTest {

    private static final long TERM = 3;

    private final SubscriberAnswers answers = new SubscriberAnswers(new ControlStateMachine());

    private final LeaderState leader = new LeaderState(TERM, 0, 0);

    private static Poll poll(long epoch) {
        return new Poll(new HostName("gateway-1"), new ZoneName("zone-a"), 0, epoch, 0, 45, "127.0.0.1:1", false);
    }

    @Test
    void pollIsHeldOnlyShortlyWhileRegistryOfNewLeaderIsIncomplete() {
        assertThat(answers.holdMillis(poll(0), leader, 200)).isLessThanOrEqualTo(100);
        assertThat(answers.holdMillis(poll(TERM - 1), leader, 200)).isLessThanOrEqualTo(100);
    }

    @Test
    void pollIsHeldForFullTimeOnceMembershipCanBeSent() {
        assertThat(answers.holdMillis(poll(0), leader, 60_000)).isEqualTo(500);
        assertThat(answers.holdMillis(poll(TERM), leader, 200)).isEqualTo(500);
    }
}
