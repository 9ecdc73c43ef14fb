package org.bamboohatch.replication.message;

import com.fasterxml.jackson.annotation.JsonFormat;
import com.fasterxml.jackson.annotation.JsonPropertyOrder;

/**
 * One entry of the log.
 *
 * @param index its position, counted from one
 * @param term the term of the leader that made it
 * @param kind its kind
 * @param data its content
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
@JsonPropertyOrder({"index", "term", "kind", "data"})
public record LogEntry(long index, long term, EntryKind kind, byte[] data) {}
