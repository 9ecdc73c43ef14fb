package org.bamboohatch.replication.message;

import com.fasterxml.jackson.annotation.JsonFormat;
import com.fasterxml.jackson.annotation.JsonPropertyOrder;

/**
 * An entry of the replicated log.
 *
 * @param index the position in the log, starting at one
 * @param term the term of the leader that created the entry
 * @param kind the kind of the entry
 * @param data the encoded command or membership, empty for {@link EntryKind#NOOP}
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
@JsonPropertyOrder({"index", "term", "kind", "data"})
public record LogEntry(long index, long term, EntryKind kind, byte[] data) {}
