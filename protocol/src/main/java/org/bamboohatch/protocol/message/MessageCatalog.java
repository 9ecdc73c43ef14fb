package org.bamboohatch.protocol.message;

import java.util.List;

import org.bamboohatch.kernel.plugin.Plugin;

/** A plug-in that registers message types. */
public interface MessageCatalog extends Plugin {

    /**
     * Returns the message types of this catalog. On the wire, a type is identified by its simple class name.
     *
     * @return the message types
     */
    List<Class<? extends Message>> types();

    /** Registers the message types of this module. */
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
         * Adds all records of a sealed interface.
         *
         * @param types list to which the records are added
         * @param parent the sealed interface
         */
        private static void addAll(List<Class<? extends Message>> types, Class<? extends Message> parent) {
            for (Class<?> member : parent.getPermittedSubclasses()) {
                types.add(member.asSubclass(Message.class));
            }
        }
    }
}
