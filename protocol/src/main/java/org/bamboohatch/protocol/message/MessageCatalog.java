package org.bamboohatch.protocol.message;

import java.util.List;

import org.bamboohatch.kernel.plugin.Plugin;

/** A plug-in that registers message types under short names. */
public interface MessageCatalog extends Plugin {

    /**
     * Lists the message types; each is known on the wire by its simple class name.
     *
     * @return the types
     */
    List<Class<? extends Message>> types();

    /** Registers the messages of this module. */
    final class ForProtocol implements MessageCatalog {

        @Override
        public String name() {
            return "protocol";
        }

        @Override
        public List<Class<? extends Message>> types() {
            List<Class<? extends Message>> types = new java.util.ArrayList<>();
            addAll(types, ConnectionMessage.class);
            addAll(types, ControlRequest.class);
            addAll(types, ControlReply.class);
            addAll(types, AgentRequest.class);
            addAll(types, AgentReply.class);
            return types;
        }

        /**
         * Adds every record of a sealed interface.
         *
         * @param types receives the records
         * @param parent the sealed interface
         */
        private static void addAll(List<Class<? extends Message>> types, Class<? extends Message> parent) {
            for (Class<?> member : parent.getPermittedSubclasses()) {
                types.add(member.asSubclass(Message.class));
            }
        }
    }
}
