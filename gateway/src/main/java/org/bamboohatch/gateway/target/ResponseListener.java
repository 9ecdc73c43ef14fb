package org.bamboohatch.gateway.target;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpResponse;

/** Receives the response to a request that was sent on a connection to a target. */
public interface ResponseListener {

    /**
     * Invoked when the head of the response has arrived.
     *
     * @param response status and header fields of the response
     */
    void onHead(HttpResponse response);

    /**
     * Invoked when a part of the body has arrived.
     *
     * @param part bytes of the part; valid only during the call
     */
    void onContent(ByteBuf part);

    /** Invoked when the response is complete. */
    void onEnd();

    /**
     * Invoked when the connection has ended before the response was complete. The request may have run.
     *
     * @param cause the cause
     */
    void onLost(LossCause cause);
}
