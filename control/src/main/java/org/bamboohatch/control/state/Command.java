package org.bamboohatch.control.state;

import java.util.List;

import org.bamboohatch.protocol.message.Message;
import org.bamboohatch.protocol.message.MessageCatalog;

/**
 * A command in the replicated log.
 *
 * @param time ledger time at which the leader proposed the command, in milliseconds
 * @param request the request that the state machine applies
 */
public record Command(long time, Message request) {

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
