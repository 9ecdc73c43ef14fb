package org.bamboohatch.control.state;

import java.util.List;

import org.bamboohatch.protocol.message.Message;
import org.bamboohatch.protocol.message.MessageCatalog;

/**
 * A command in the log.
 *
 * @param time ledger time at the leader, in milliseconds
 * @param request the request that the state machine decides
 */
public record Command(long time, Message request) {

    /**
     * Asks the ledger to forget old records.
     *
     * @param before records that were last used before this ledger time are forgotten
     */
    public record Evict(long before) implements Message {}

    /** Registers the commands of this module. */
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
