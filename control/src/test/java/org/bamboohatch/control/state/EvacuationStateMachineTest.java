package org.bamboohatch.control.state;

import java.io.IOException;
import java.util.List;

import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.jsontype.NamedType;
import org.bamboohatch.kernel.id.ZoneName;
import org.bamboohatch.kernel.service.Invariant;
import org.bamboohatch.protocol.message.ControlReply;
import org.bamboohatch.protocol.message.ControlReply.EvacuationChanged;
import org.bamboohatch.protocol.message.ControlRequest.ChangeEvacuation;
import org.bamboohatch.protocol.message.ControlRequest.ReplaceFleet;
import org.bamboohatch.protocol.message.EvacuatedZones;
import org.bamboohatch.protocol.message.FleetText;
import org.bamboohatch.protocol.message.Message;
import org.bamboohatch.protocol.message.MessageCodec;
import org.junit.jupiter.api.Test;
import org.msgpack.jackson.dataformat.MessagePackFactory;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

class EvacuationStateMachineTest {

    private static final ZoneName A = new ZoneName("dublin-a");

    private static final ZoneName B = new ZoneName("dublin-b");

    private static final long WALL_TIME = 1_700_000_000_000L;

    private final ControlStateMachine stateMachine = new ControlStateMachine();

    /** State in a snapshot of the version before evacuations. */
    private record EarlierState(
            DocumentStateMachine.State documents,
            LedgerStateMachine.State ledger,
            FleetText fleet,
            List<DepartureStateMachine.Recorded> departures) {}

    private static byte[] order(ZoneName zone, boolean evacuated) {
        return ControlStateMachine.encode(new Command(1, new ChangeEvacuation(zone, evacuated, WALL_TIME)));
    }

    private EvacuatedZones apply(ZoneName zone, boolean evacuated) {
        return ((EvacuationChanged) stateMachine.apply(1, order(zone, evacuated))).evacuated();
    }

    @Test
    void eachChangeOfTheSetHasAHigherVersion() {
        EvacuatedZones first = apply(A, true);
        EvacuatedZones second = apply(B, true);
        EvacuatedZones third = apply(A, false);
        assertThat(first.zones()).containsExactly(A);
        assertThat(second.zones()).containsExactly(A, B);
        assertThat(third.zones()).containsExactly(B);
        assertThat(first.version()).isEqualTo(WALL_TIME).isLessThan(second.version());
        assertThat(second.version()).isLessThan(third.version());
    }

    /** A new version for a resent order would make its acknowledgement wait for all gateways once more. */
    @Test
    void aRepeatedOrderChangesNothing() {
        EvacuatedZones first = apply(A, true);
        assertThat(apply(A, true)).isEqualTo(first);
        EvacuatedZones ended = apply(A, false);
        assertThat(apply(A, false)).isEqualTo(ended);
        assertThat(apply(B, false)).isEqualTo(ended);
    }

    /** Guards against gateways that keep the set of an earlier group, whose version would be higher, for good. */
    @Test
    void theFirstOrderOfANewGroupSupersedesTheSetOfAnEarlierOne() {
        EvacuatedZones ofEarlierGroup = EvacuatedZones.of(WALL_TIME - 1, List.of(A));
        EvacuatedZones withdrawn = apply(A, false);
        assertThat(ofEarlierGroup.later(withdrawn)).isSameAs(withdrawn);
        assertThat(withdrawn.zones()).isEmpty();
    }

    @Test
    void theNumberOfEvacuatedZonesIsLimited() {
        for (int number = 0; number < EvacuationStateMachine.MAX_ZONES; number++) {
            apply(new ZoneName("zone-" + number), true);
        }
        assertThat(stateMachine.apply(1, order(A, true))).isInstanceOf(ControlReply.Invalid.class);
        assertThat(apply(new ZoneName("zone-0"), true).zones()).hasSize(EvacuationStateMachine.MAX_ZONES);
    }

    @Test
    void snapshotRestoresTheSet() {
        EvacuatedZones evacuated = apply(A, true);
        ControlStateMachine restored = new ControlStateMachine();
        restored.restore(stateMachine.snapshot());
        assertThat(restored.evacuations().current()).isEqualTo(evacuated);
        restored.restore(new byte[0]);
        assertThat(restored.evacuations().current()).isEqualTo(EvacuatedZones.NONE);
    }

    /** Data of the version before is read, and a state without orders can still be read by that version. */
    @Test
    void aStateWithoutOrdersHasTheFormatOfTheVersionBefore() throws IOException {
        stateMachine.apply(
                1,
                ControlStateMachine.encode(
                        new Command(1, new ReplaceFleet(new FleetText(7, "text", "seven".getBytes())))));
        EarlierState earlier = MessageCodec.instance().decode(stateMachine.snapshot(), EarlierState.class);
        assertThat(earlier.fleet().version()).isEqualTo(7);

        ControlStateMachine restored = new ControlStateMachine();
        restored.restore(MessageCodec.instance().encode(earlier));
        assertThat(restored.fleet().version()).isEqualTo(7);
        assertThat(restored.evacuations().current()).isEqualTo(EvacuatedZones.NONE);
    }

    /**
     * Guards against a process of the version before that restores a snapshot, ignores the field that it does not know,
     * and tells gateways nothing of an order that was acknowledged.
     */
    @Test
    void theVersionBeforeRefusesASnapshotWithOrders() {
        apply(A, true);
        byte[] snapshot = stateMachine.snapshot();
        assertThatThrownBy(() -> MessageCodec.instance().decode(snapshot, EarlierState.class))
                .isInstanceOf(IOException.class);
        apply(A, false);
        byte[] withdrawn = stateMachine.snapshot();
        assertThatThrownBy(() -> MessageCodec.instance().decode(withdrawn, EarlierState.class))
                .isInstanceOf(IOException.class);
    }

    /** Guards against an order in a field that a process of the version before ignores when it applies the log. */
    @Test
    void theVersionBeforeRefusesAnOrderInTheLog() {
        ObjectMapper earlier = new ObjectMapper(new MessagePackFactory());
        earlier.configure(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES, false);
        for (Class<? extends Message> known : List.of(ReplaceFleet.class, Command.Evict.class)) {
            earlier.registerSubtypes(new NamedType(known, known.getSimpleName()));
        }
        byte[] known = ControlStateMachine.encode(new Command(1, new Command.Evict(2)));
        assertThat(readable(earlier, known)).isTrue();
        assertThat(readable(earlier, order(A, true))).isFalse();
    }

    private static boolean readable(ObjectMapper mapper, byte[] command) {
        try {
            mapper.readValue(command, Command.class);
            return true;
        } catch (IOException unknown) {
            return false;
        }
    }

    @Test
    void aSnapshotOfALaterVersionIsRefused() {
        apply(A, true);
        byte[] later = stateMachine.snapshot();
        later[1]++;
        assertThatThrownBy(() -> new ControlStateMachine().restore(later))
                .isInstanceOf(Invariant.Violation.class)
                .hasMessageContaining("newer");
    }
}
