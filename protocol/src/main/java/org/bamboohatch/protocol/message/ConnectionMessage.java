package org.bamboohatch.protocol.message;

/** Messages that keep a connection alive. */
public sealed interface ConnectionMessage extends Message {

    /** Asks the other end for a sign of life. */
    record Ping() implements ConnectionMessage {}

    /**
     * Answers a ping.
     *
     * @param status what the server tells with each sign of life, or null
     */
    record Pong(Message status) implements ConnectionMessage {}
}
