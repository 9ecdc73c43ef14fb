package org.bamboohatch.gateway.http;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponseStatus;
import org.bamboohatch.kernel.outcome.Refusal;

/** Takes the answer to one request; calls after the end or after the caller has gone change nothing. */
public interface Responder {

    /**
     * Begins the answer.
     *
     * @param status the status
     * @param headers the header fields, without those that concern the connection
     * @param length length of the body, negative if it is not known
     */
    void head(HttpResponseStatus status, HttpHeaders headers, long length);

    /**
     * Sends a part of the body.
     *
     * @param part the part, released by the responder
     */
    void content(ByteBuf part);

    /** Ends the answer as complete. */
    void end();

    /** Breaks the connection, so that the caller sees that the answer is not complete. */
    void abort();

    /**
     * Answers with an error of the gateway's own.
     *
     * @param refusal the error
     */
    void refuse(Refusal refusal);

    /**
     * Tells whether the caller takes more parts now.
     *
     * @return whether what was sent is under way
     */
    boolean isWritable();
}
