package org.bamboohatch.control.state;

import org.bamboohatch.protocol.message.ControlReply.FleetReplaced;
import org.bamboohatch.protocol.message.ControlRequest.ReplaceFleet;
import org.bamboohatch.protocol.message.FleetText;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class FleetStateMachineTest {

    private static byte[] command(long version, String content) {
        return ControlStateMachine.encode(
                new Command(1, new ReplaceFleet(new FleetText(version, "text", content.getBytes()))));
    }

    private static String retainedContent(ControlStateMachine stateMachine) {
        return new String(stateMachine.fleet().current().content());
    }

    @Test
    void lowerVersionDoesNotReplaceHigherOne() {
        ControlStateMachine stateMachine = new ControlStateMachine();
        assertThat(stateMachine.apply(1, command(7, "seven"))).isEqualTo(new FleetReplaced(7));
        assertThat(stateMachine.apply(2, command(3, "three"))).isEqualTo(new FleetReplaced(7));
        assertThat(retainedContent(stateMachine)).isEqualTo("seven");
        assertThat(stateMachine.apply(3, command(12, "twelve"))).isEqualTo(new FleetReplaced(12));
        assertThat(retainedContent(stateMachine)).isEqualTo("twelve");
    }

    @Test
    void otherContentWithSameVersionIsIgnored() {
        ControlStateMachine stateMachine = new ControlStateMachine();
        stateMachine.apply(1, command(7, "first"));
        assertThat(stateMachine.apply(2, command(7, "second"))).isEqualTo(new FleetReplaced(7));
        assertThat(retainedContent(stateMachine)).isEqualTo("first");
    }

    @Test
    void snapshotRestoresConfiguration() {
        ControlStateMachine stateMachine = new ControlStateMachine();
        stateMachine.apply(1, command(7, "seven"));
        ControlStateMachine restored = new ControlStateMachine();
        restored.restore(stateMachine.snapshot());
        assertThat(retainedContent(restored)).isEqualTo("seven");
        assertThat(restored.fleet().version()).isEqualTo(7);
    }
}
