package org.bamboohatch.gateway.target;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpResponse;

/** Hears what becomes of a request that was handed to a connection of a target. */
public interface ResponseListener {

    /**
     * The head of the answer has arrived.
     *
     * @param response the head
     */
    void onHead(HttpResponse response);

    /**
     * A part of the answer's body has arrived.
     *
     * @param part the part, valid during the call
     */
    void onContent(ByteBuf part);

    /** The answer is complete. */
    void onEnd();

    /**
     * The connection ended before the answer was complete; the request may have run.
     *
     * @param reason why, in a few words
     */
    void onLost(String reason);
}
