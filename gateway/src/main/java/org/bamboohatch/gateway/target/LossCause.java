package org.bamboohatch.gateway.target;

/** Reasons why the response to a request was lost. */
public enum LossCause {
    /** The target closed the connection before it sent a response. */
    CLOSED("closed", true),
    /** The connection was reset. */
    RESET("reset", true),
    /** The target closed the connection within a response. */
    CUT("cut within the answer", true),
    /** The target ended, and with it the connection that would show the end of the response. */
    CRASHED("target ended within the answer", true),
    /** The response violates the protocol. */
    MALFORMED("malformed answer", false),
    /** The target sends bytes that belong to no response, without end. */
    UNRELATED_BYTES("too many bytes that are no answer", false),
    /** The buffers of this gateway have no room for the head of the response. */
    BUFFERS_FULL("large head of an answer while buffers are full", false);

    private final String reason;

    private final boolean connectionEnded;

    LossCause(String reason, boolean connectionEnded) {
        this.reason = reason;
        this.connectionEnded = connectionEnded;
    }

    /**
     * Returns a description for logs and callers.
     *
     * @return the description, a few words
     */
    public String reason() {
        return reason;
    }

    /**
     * Indicates whether the connection ended by itself, as it does when the target crashes.
     *
     * @return whether it ended; otherwise this process has closed it
     */
    public boolean isConnectionEnded() {
        return connectionEnded;
    }
}
