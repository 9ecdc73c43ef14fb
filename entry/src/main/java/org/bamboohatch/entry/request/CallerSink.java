package org.bamboohatch.entry.request;

import org.bamboohatch.kernel.outcome.Refusal;

/**
 * Receives the response to one caller. Exactly one call of {@link #complete} or {@link #refuse} ends the response.
 */
public interface CallerSink {

    /**
     * Receives a chunk of the response.
     *
     * @param data the bytes of the chunk
     * @param tokens number of output tokens in the chunk
     */
    void chunk(byte[] data, int tokens);

    /** Discards the chunks that were not sent yet, because the response begins again. */
    void discardUnsent();

    /**
     * Ends the response successfully.
     *
     * @param status HTTP status that the target returned
     * @param contentType media type of the response
     * @param finishReason why an engine stopped generating, or an empty string
     */
    void complete(int status, String contentType, String finishReason);

    /**
     * Ends the response with an error.
     *
     * @param refusal the error to report to the caller
     */
    void refuse(Refusal refusal);
}
