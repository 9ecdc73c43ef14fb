package org.bamboohatch.protocol.transport;

import org.bamboohatch.protocol.message.Message;

/** Listener for the replies on a stream. Replies are delivered on a network thread, so the methods must not block. */
public interface StreamListener {

    /**
     * Invoked for each reply.
     *
     * @param message the received reply
     * @param end whether the reply is the last one of the stream
     */
    void onMessage(Message message, boolean end);

    /**
     * Invoked once if the connection ends before the last reply, or has ended before the request is sent.
     *
     * @param reason why the stream is lost
     */
    void onLost(String reason);
}
