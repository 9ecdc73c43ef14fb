package org.bamboohatch.agent.driver;

/** Listener for the answer of a run at a target. */
public interface RunListener {

    /**
     * Invoked for each chunk of the answer.
     *
     * @param data bytes of the chunk
     * @param tokens number of output tokens in the chunk, zero for a plain service
     */
    void onData(byte[] data, int tokens);

    /**
     * Invoked when the answer is complete.
     *
     * @param status HTTP status of the answer
     * @param contentType media type of the answer
     * @param finishReason why an engine ended the answer, or an empty string for a plain service
     */
    void onEnd(int status, String contentType, String finishReason);

    /**
     * Invoked when the run has failed.
     *
     * @param started whether the target may have started the run
     * @param sentence why the run failed
     */
    void onFailure(boolean started, String sentence);
}
