package org.bamboohatch.entry.request;

import org.bamboohatch.kernel.outcome.Refusal;

/** Takes the answer to one caller; exactly one of {@code complete} and {@code refuse} ends it. */
public interface CallerSink {

    /**
     * Takes a part of the answer.
     *
     * @param data the part
     * @param tokens answer tokens in the part
     */
    void part(byte[] data, int tokens);

    /**
     * Ends the answer.
     *
     * @param status the HTTP status of the target
     * @param contentType the media type of the answer
     * @param finishReason why an engine ended the answer, or an empty text
     */
    void complete(int status, String contentType, String finishReason);

    /**
     * Ends with an error.
     *
     * @param refusal the error
     */
    void refuse(Refusal refusal);
}
