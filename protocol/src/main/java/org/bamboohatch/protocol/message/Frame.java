package org.bamboohatch.protocol.message;

import com.fasterxml.jackson.annotation.JsonFormat;
import com.fasterxml.jackson.annotation.JsonPropertyOrder;

/**
 * One message on a connection.
 *
 * @param stream the number of the exchange that the message belongs to, zero for the connection itself
 * @param end whether the message is the last of its exchange
 * @param time the packed hybrid time of the sender
 * @param body the message
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
@JsonPropertyOrder({"stream", "end", "time", "body"})
public record Frame(long stream, boolean end, long time, Message body) {}
