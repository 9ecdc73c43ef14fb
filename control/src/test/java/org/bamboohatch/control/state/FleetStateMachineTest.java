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

    private static String held(ControlStateMachine machine) {
        return new String(machine.fleet().current().content());
    }

    @Test
    void theHighestVersionIsHeldWhateverComesLater() {
        ControlStateMachine machine = new ControlStateMachine();
        assertThat(machine.apply(1, command(7, "seven"))).isEqualTo(new FleetReplaced(7));
        assertThat(machine.apply(2, command(3, "three"))).isEqualTo(new FleetReplaced(7));
        assertThat(held(machine)).isEqualTo("seven");
        assertThat(machine.apply(3, command(12, "twelve"))).isEqualTo(new FleetReplaced(12));
        assertThat(held(machine)).isEqualTo("twelve");
    }

    @Test
    void otherContentUnderTheHeldVersionIsNotTaken() {
        ControlStateMachine machine = new ControlStateMachine();
        machine.apply(1, command(7, "first"));
        assertThat(machine.apply(2, command(7, "second"))).isEqualTo(new FleetReplaced(7));
        assertThat(held(machine)).isEqualTo("first");
    }

    @Test
    void aSnapshotKeepsTheConfiguration() {
        ControlStateMachine machine = new ControlStateMachine();
        machine.apply(1, command(7, "seven"));
        ControlStateMachine restored = new ControlStateMachine();
        restored.restore(machine.snapshot());
        assertThat(held(restored)).isEqualTo("seven");
        assertThat(restored.fleet().version()).isEqualTo(7);
    }
}
