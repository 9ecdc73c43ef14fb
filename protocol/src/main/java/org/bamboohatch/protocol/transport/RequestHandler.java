package org.bamboohatch.protocol.transport;

import org.bamboohatch.protocol.message.Message;

/** Handles the requests of a server; called on a network thread and must not block. */
public interface RequestHandler {

    /**
     * Handles a request.
     *
     * @param request the request
     * @param exchange takes the replies
     */
    void handle(Message request, Exchange exchange);

    /**
     * Returns what is told with each sign of life.
     *
     * @return a message or null
     */
    default Message status() {
        return null;
    }
}
