package org.bamboohatch.protocol.message;

import com.fasterxml.jackson.annotation.JsonFormat;
import com.fasterxml.jackson.annotation.JsonPropertyOrder;

/** Heartbeat messages of a connection. */
public sealed interface ConnectionMessage extends Message {

    /** Heartbeat of a client, which the server replies to with a {@link Pong}. */
    record Ping() implements ConnectionMessage {}

    /**
     * Heartbeat reply of a server.
     *
     * @param status status message of the server, such as a load report, or {@code null} if it has none
     */
    @JsonFormat(shape = JsonFormat.Shape.ARRAY)
    @JsonPropertyOrder({"status"})
    record Pong(Message status) implements ConnectionMessage {}
}
