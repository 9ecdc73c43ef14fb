package org.bamboohatch.protocol.message;

import com.fasterxml.jackson.annotation.JsonFormat;
import com.fasterxml.jackson.annotation.JsonPropertyOrder;

/**
 * A message on a connection with its envelope.
 *
 * @param stream number of the stream that the message belongs to, or zero for the connection itself
 * @param end whether the message is the last reply of its stream
 * @param time hybrid logical clock of the sender, packed as by {@link org.bamboohatch.kernel.event.Timeline#stamp}
 * @param body the message itself
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
@JsonPropertyOrder({"stream", "end", "time", "body"})
public record Frame(long stream, boolean end, long time, Message body) {}
