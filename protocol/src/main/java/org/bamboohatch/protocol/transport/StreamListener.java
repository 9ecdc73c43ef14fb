package org.bamboohatch.protocol.transport;

import org.bamboohatch.protocol.message.Message;

/** Hears the replies of one exchange. */
public interface StreamListener {

    /**
     * Called for each reply.
     *
     * @param message the reply
     * @param end whether it is the last
     */
    void onMessage(Message message, boolean end);

    /**
     * Called once if the connection ends before the last reply.
     *
     * @param reason the reason
     */
    void onLost(String reason);
}
