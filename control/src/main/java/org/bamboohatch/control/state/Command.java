package org.bamboohatch.control.state;

import java.util.List;

import org.bamboohatch.protocol.message.CrashEvidence;
import org.bamboohatch.protocol.message.Message;
import org.bamboohatch.protocol.message.MessageCatalog;

/**
 * A command in the replicated log.
 *
 * @param time ledger time at which the leader proposed the command, in milliseconds
 * @param request the request that the state machine applies
 * @param departure a target that has left, or null; a field beside the request, because older replicas stop at unknown
 *     requests but ignore unknown fields
 * @param crashes evidence against requests that end targets, or null; a field for the same reason
 */
public record Command(long time, Message request, TargetDeparture departure, CrashEvidence crashes) {

    /**
     * Creates a command that records no departure.
     *
     * @param time ledger time at which the leader proposed the command, in milliseconds
     * @param request the request that the state machine applies
     */
    public Command(long time, Message request) {
        this(time, request, null, null);
    }

    /**
     * Creates a command that only records a departure.
     *
     * @param time ledger time at which the leader proposed the command, in milliseconds
     * @param departure the departure
     * @return the command, whose request evicts nothing
     */
    public static Command recording(long time, TargetDeparture departure) {
        return new Command(time, new Evict(Long.MIN_VALUE), departure, null);
    }

    /**
     * Creates a command that only records evidence against requests that end targets.
     *
     * @param time ledger time at which the leader proposed the command, in milliseconds
     * @param crashes the evidence
     * @return the command, whose request evicts nothing
     */
    public static Command recording(long time, CrashEvidence crashes) {
        return new Command(time, new Evict(Long.MIN_VALUE), null, crashes);
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
