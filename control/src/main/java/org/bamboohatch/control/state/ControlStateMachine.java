package org.bamboohatch.control.state;

import java.io.IOException;
import java.util.List;

import org.bamboohatch.kernel.service.Invariant;
import org.bamboohatch.protocol.message.ControlReply;
import org.bamboohatch.protocol.message.ControlRequest.AbandonRun;
import org.bamboohatch.protocol.message.ControlRequest.ApplyDocument;
import org.bamboohatch.protocol.message.ControlRequest.BeginRun;
import org.bamboohatch.protocol.message.ControlRequest.FinishRun;
import org.bamboohatch.protocol.message.ControlRequest.ReplaceFleet;
import org.bamboohatch.protocol.message.FleetText;
import org.bamboohatch.protocol.message.Message;
import org.bamboohatch.protocol.message.MessageCodec;
import org.bamboohatch.replication.StateMachine;

/** Everything that the log carries: service documents and the ledger of runs. */
public final class ControlStateMachine implements StateMachine {

    /** The service documents. */
    private final DocumentStateMachine documents = new DocumentStateMachine();

    /** The ledger of runs. */
    private final LedgerStateMachine ledger = new LedgerStateMachine();

    /** The fleet configuration. */
    private final FleetStateMachine fleet = new FleetStateMachine();

    /** Creates an empty machine. */
    public ControlStateMachine() {}

    /**
     * The whole state in a snapshot.
     *
     * @param documents the documents
     * @param ledger the ledger
     * @param fleet the fleet configuration, null if there is none
     */
    private record State(DocumentStateMachine.State documents, LedgerStateMachine.State ledger, FleetText fleet) {}

    /**
     * Encodes a command.
     *
     * @param command the command
     * @return its bytes
     */
    public static byte[] encode(Command command) {
        return MessageCodec.instance().encode(command);
    }

    @Override
    public Object apply(long index, byte[] encoded) {
        Command command = decode(encoded, Command.class);
        ledger.advance(command.time());
        return decide(command.request());
    }

    /**
     * Decides a request.
     *
     * @param request the request
     * @return the reply, or null if there is none
     */
    private ControlReply decide(Message request) {
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
        } else if (request instanceof Command.Evict evict) {
            ledger.evict(evict.before());
            return null;
        }
        throw new Invariant.Broken("the log carries an unknown command " + request.getClass());
    }

    @Override
    public byte[] snapshot() {
        return MessageCodec.instance().encode(new State(documents.state(), ledger.state(), fleet.current()));
    }

    @Override
    public void restore(byte[] state) {
        State decoded = state.length == 0
                ? new State(
                        new DocumentStateMachine.State(0, List.of(), List.of()),
                        new LedgerStateMachine.State(0, List.of()),
                        null)
                : decode(state, State.class);
        documents.restore(decoded.documents());
        ledger.restore(decoded.ledger());
        fleet.restore(decoded.fleet());
    }

    /**
     * Returns the service documents.
     *
     * @return the documents
     */
    public DocumentStateMachine documents() {
        return documents;
    }

    /**
     * Returns the fleet configuration.
     *
     * @return the configuration
     */
    public FleetStateMachine fleet() {
        return fleet;
    }

    /**
     * Returns the ledger of runs.
     *
     * @return the ledger
     */
    public LedgerStateMachine ledger() {
        return ledger;
    }

    /**
     * Decodes what this program has encoded.
     *
     * @param bytes the bytes
     * @param type the type
     * @param <T> the type
     * @return the value
     */
    private static <T> T decode(byte[] bytes, Class<T> type) {
        try {
            return MessageCodec.instance().decode(bytes, type);
        } catch (IOException malformed) {
            throw new Invariant.Broken("the log carries malformed data: " + malformed.getMessage());
        }
    }
}
