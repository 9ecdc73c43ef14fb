package org.bamboohatch.protocol.transport;

import org.bamboohatch.protocol.message.Message;

/** Server side of a stream, which carries a request and its replies. */
public interface Exchange {

    /**
     * Sends a reply that is not the last one of the stream.
     *
     * @param message the reply to send
     */
    void reply(Message message);

    /**
     * Sends the last reply of the stream.
     *
     * @param message the reply to send
     */
    void end(Message message);

    /**
     * Indicates whether replies can still be sent.
     *
     * @return {@code true} as long as the connection is open
     */
    boolean isOpen();
}
