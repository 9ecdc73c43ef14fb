package org.bamboohatch.control.state;

import java.util.List;

import org.bamboohatch.protocol.message.Message;
import org.bamboohatch.protocol.message.MessageCatalog;

/**
 * A command in the replicated log.
 *
 * @param time ledger time at which the leader proposed the command, in milliseconds
 * @param request the request that the state machine applies
 * @param departure a target that has left, or null; a field beside the request, because older replicas stop at unknown
 *     requests but ignore unknown fields
 */
public record Command(long time, Message request, TargetDeparture departure) {

    /**
     * Creates a command that records no departure.
     *
     * @param time ledger time at which the leader proposed the command, in milliseconds
     * @param request the request that the state machine applies
     */
    public Command(long time, Message request) {
        this(time, request, null);
    }

    /**
     * Creates a command that only records a departure.
     *
     * @param time ledger time at which the leader proposed the command, in milliseconds
     * @param departure the departure
     * @return the command, whose request evicts nothing
     */
    public static Command recording(long time, TargetDeparture departure) {
        return new Command(time, new Evict(Long.MIN_VALUE), departure);
    }

    /**
     * Evicts old records from the ledger.
     *
     * @param before ledger time in milliseconds; records that were last used earlier are evicted
     */
    public record Evict(long before) implements Message {}

    /** Registers the commands that only this module proposes. */
    public static final class Catalog implements MessageCatalog {

        @Override
        public String name() {
            return "control";
        }

        @Override
        public List<Class<? extends Message>> types() {
            return List.of(Evict.class);
        }
    }
}
