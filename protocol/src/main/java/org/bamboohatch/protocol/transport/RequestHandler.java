package org.bamboohatch.protocol.transport;

import org.bamboohatch.protocol.message.Message;

/** Handles the requests that a server receives. All methods are called on a network thread and must not block. */
public interface RequestHandler {

    /**
     * Handles a received message.
     *
     * @param request the received message, of any registered type
     * @param exchange stream on which replies are sent
     */
    void handle(Message request, Exchange exchange);

    /**
     * Returns the status message that is sent with every heartbeat reply.
     *
     * @return the status message, or {@code null} for none
     */
    default Message status() {
        return null;
    }
}
