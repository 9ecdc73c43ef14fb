package org.bamboohatch.protocol.message;

import com.fasterxml.jackson.annotation.JsonFormat;
import com.fasterxml.jackson.annotation.JsonPropertyOrder;

/** Messages that keep a connection alive. */
public sealed interface ConnectionMessage extends Message {

    /** Asks the other end for a sign of life. */
    record Ping() implements ConnectionMessage {}

    /**
     * Answers a ping.
     *
     * @param status what the server tells with each sign of life, or null
     */
    @JsonFormat(shape = JsonFormat.Shape.ARRAY)
    @JsonPropertyOrder({"status"})
    record Pong(Message status) implements ConnectionMessage {}
}
