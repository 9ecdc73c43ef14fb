package org.bamboohatch.gateway.http;

/** What a connection of a caller is waiting for. */
enum CallerStage {
    /** The next request. */
    IDLE,
    /** The rest of a head. */
    HEAD,
    /** The rest of a body. */
    BODY,
    /** The end of the response. */
    RESPONSE,
    /** The caller, who has not read all of the response. */
    FLUSHING,
    /** Nothing, the connection is being closed. */
    CLOSING;

    boolean isReading() {
        return this == IDLE || this == HEAD || this == BODY;
    }
}
