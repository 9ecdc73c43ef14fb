package org.bamboohatch.control.state;

import java.io.IOException;
import java.util.List;
import java.util.function.Consumer;

import org.bamboohatch.kernel.service.Invariant;
import org.bamboohatch.protocol.message.ControlReply;
import org.bamboohatch.protocol.message.ControlRequest.AbandonRun;
import org.bamboohatch.protocol.message.ControlRequest.ApplyDocument;
import org.bamboohatch.protocol.message.ControlRequest.BeginRun;
import org.bamboohatch.protocol.message.ControlRequest.ChangeEvacuation;
import org.bamboohatch.protocol.message.ControlRequest.FinishRun;
import org.bamboohatch.protocol.message.ControlRequest.ReplaceFleet;
import org.bamboohatch.protocol.message.EvacuatedZones;
import org.bamboohatch.protocol.message.FleetText;
import org.bamboohatch.protocol.message.Message;
import org.bamboohatch.protocol.message.MessageCodec;
import org.bamboohatch.replication.StateMachine;

/**
 * Replicated state of the control processes: the service documents, the ledger of runs, the fleet configuration, the
 * targets that have left, the evacuated availability zones and the evidence against requests that end targets.
 */
public final class ControlStateMachine implements StateMachine {

    private final DocumentStateMachine documents = new DocumentStateMachine();

    private final LedgerStateMachine ledger = new LedgerStateMachine();

    private final FleetStateMachine fleet = new FleetStateMachine();

    private final DepartureStateMachine departures = new DepartureStateMachine();

    private final EvacuationStateMachine evacuations = new EvacuationStateMachine();

    private final CrashStateMachine crashes = new CrashStateMachine();

    /** Notified of each departure that is applied. */
    private Consumer<TargetDeparture> departureListener = departure -> {};

    /** Creates a state machine in its initial state. */
    public ControlStateMachine() {}

    /**
     * State in a snapshot.
     *
     * @param documents state of the service documents
     * @param ledger state of the ledger
     * @param fleet the fleet configuration, or null if there is none
     * @param departures the targets that have left, null in snapshots of versions that recorded none
     * @param evacuations the evacuated zones, null before the first order
     * @param crashes evidence against requests that end targets, null in snapshots of versions that recorded none; those
     *     versions ignore it, and gateways then find the requests anew
     */
    private record State(
            DocumentStateMachine.State documents,
            LedgerStateMachine.State ledger,
            FleetText fleet,
            List<DepartureStateMachine.Recorded> departures,
            EvacuatedZones evacuations,
            CrashStateMachine.State crashes) {}

    /**
     * Encodes a command for the log.
     *
     * @param command the command to propose
     * @return the encoded command, as expected by {@link #apply(long, byte[])}
     */
    public static byte[] encode(Command command) {
        return MessageCodec.instance().encode(command);
    }

    @Override
    public Object apply(long index, byte[] encoded) {
        Command command = decode(encoded, Command.class);
        ledger.advance(command.time());
        if (command.departure() != null) {
            departures.record(command.departure(), ledger.time());
            departureListener.accept(command.departure());
        }
        if (command.crashes() != null) {
            crashes.record(command.crashes(), ledger.time());
        }
        return applyRequest(command.request());
    }

    /**
     * Applies a request to the part of the state that it concerns.
     *
     * @param request the request of a command
     * @return the reply, or null for a request that has none
     */
    private ControlReply applyRequest(Message request) {
        if (request instanceof ApplyDocument apply) {
            return documents.apply(apply);
        } else if (request instanceof BeginRun begin) {
            return ledger.begin(begin);
        } else if (request instanceof AbandonRun abandon) {
            return ledger.abandon(abandon);
        } else if (request instanceof FinishRun finish) {
            return ledger.finish(finish);
        } else if (request instanceof ReplaceFleet replace) {
            return fleet.replace(replace);
        } else if (request instanceof ChangeEvacuation change) {
            return evacuations.change(change);
        } else if (request instanceof Command.Evict evict) {
            ledger.evict(evict.before());
            return null;
        }
        throw new Invariant.Violation("unknown command in the log: " + request.getClass());
    }

    @Override
    public byte[] snapshot() {
        EvacuatedZones evacuated = evacuations.state();
        byte[] encoded = MessageCodec.instance()
                .encode(new State(
                        documents.state(),
                        ledger.state(),
                        fleet.current(),
                        departures.state(),
                        evacuated,
                        crashes.state()));
        return evacuated == null ? encoded : SnapshotFormat.mark(encoded);
    }

    @Override
    public void restore(byte[] state) {
        State decoded = state.length == 0
                ? new State(
                        new DocumentStateMachine.State(0, List.of(), List.of()),
                        new LedgerStateMachine.State(0, List.of()),
                        null,
                        List.of(),
                        null,
                        null)
                : decode(SnapshotFormat.unmark(state), State.class);
        documents.restore(decoded.documents());
        ledger.restore(decoded.ledger());
        fleet.restore(decoded.fleet());
        departures.restore(decoded.departures());
        evacuations.restore(decoded.evacuations());
        crashes.restore(decoded.crashes());
    }

    /**
     * Sets the listener for departures.
     *
     * @param listener invoked with each departure that is applied, on the thread that applies it
     */
    public void onDeparture(Consumer<TargetDeparture> listener) {
        departureListener = listener;
    }

    public DocumentStateMachine documents() {
        return documents;
    }

    public FleetStateMachine fleet() {
        return fleet;
    }

    public DepartureStateMachine departures() {
        return departures;
    }

    public EvacuationStateMachine evacuations() {
        return evacuations;
    }

    public CrashStateMachine crashes() {
        return crashes;
    }

    public LedgerStateMachine ledger() {
        return ledger;
    }

    /**
     * Decodes a command or a snapshot.
     *
     * @param bytes the encoded value
     * @param type class of the value
     * @param <T> type of the value
     * @return the value
     * @throws Invariant.Violation if the bytes are malformed
     */
    private static <T> T decode(byte[] bytes, Class<T> type) {
        try {
            return MessageCodec.instance().decode(bytes, type);
        } catch (IOException malformed) {
            throw new Invariant.Violation("malformed command or snapshot: " + malformed.getMessage());
        }
    }
}
