package org.bamboohatch.gateway.http;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponseStatus;
import org.bamboohatch.kernel.outcome.Refusal;

/** Sends the response to one request. Calls have no effect once the response has ended or the caller has disconnected. */
public interface Responder {

    /**
     * Sends the head of the response.
     *
     * @param status status of the response
     * @param headers header fields, without those that are specific to a connection; modified by the responder
     * @param length length of the body in bytes, negative if it is not known; for a response without a body to HEAD, or of
     *     status 304, the length that the body would have
     */
    void head(HttpResponseStatus status, HttpHeaders headers, long length);

    /**
     * Sends a part of the body.
     *
     * @param part bytes to send; released by the responder
     */
    void content(ByteBuf part);

    /** Completes the response. */
    void end();

    /** Closes the connection, so that the caller detects an incomplete response. */
    void abort();

    /**
     * Sends a complete error response of the gateway itself.
     *
     * @param refusal error to report; its code determines the HTTP status
     */
    void refuse(Refusal refusal);

    /**
     * Indicates whether the caller's connection accepts more parts of the response.
     *
     * @return whether the number of unsent bytes is below the limit
     */
    boolean isWritable();

    /**
     * Indicates whether the caller still waits for the response.
     *
     * @return whether the caller has not disconnected, as far as it is known
     */
    boolean isConnected();
}
