package org.bamboohatch.agent.driver;

/** Hears the answer of a run at a target. */
public interface RunListener {

    /**
     * Called for each part of the answer.
     *
     * @param data the part
     * @param tokens answer tokens in the part, zero for plain services
     */
    void onData(byte[] data, int tokens);

    /**
     * Called when the answer is complete.
     *
     * @param status the HTTP status
     * @param contentType the media type
     * @param finishReason why an engine ended the answer, or an empty text
     */
    void onEnd(int status, String contentType, String finishReason);

    /**
     * Called when the run failed.
     *
     * @param started whether the target may have begun the run
     * @param sentence the reason
     */
    void onFailure(boolean started, String sentence);
}
