package org.bamboohatch.protocol.transport;

import org.bamboohatch.protocol.message.Message;

/** The server's side of one exchange. */
public interface Exchange {

    /**
     * Sends a reply that is followed by others.
     *
     * @param message the reply
     */
    void reply(Message message);

    /**
     * Sends the last reply.
     *
     * @param message the reply
     */
    void end(Message message);

    /**
     * Tells whether the connection is open.
     *
     * @return whether replies can still be sent
     */
    boolean isOpen();
}
