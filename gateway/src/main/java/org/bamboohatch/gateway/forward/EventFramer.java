package org.bamboohatch.gateway.forward;

import java.nio.charset.StandardCharsets;
import java.util.Optional;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;

/**
 * Splits a server-sent event stream at event boundaries, so that no part of a truncated event is forwarded. Tracks the
 * id of the last complete event, from which another target can resume the stream.
 */
final class EventFramer {

    /** Prefix of the line that carries an event's id. */
    private static final byte[] ID_FIELD = "id:".getBytes(StandardCharsets.US_ASCII);

    /** Prefix of the line with the delay after which a caller may connect again, which is no part of an event. */
    private static final byte[] RETRY_FIELD = "retry:".getBytes(StandardCharsets.US_ASCII);

    /** Prefix of a line that carries no data, such as those that only keep a connection alive. */
    private static final byte COMMENT = ':';

    /** Prefix of a status line. An event has no such field. */
    private static final byte[] STATUS_LINE = "HTTP/1.".getBytes(StandardCharsets.US_ASCII);

    private static final byte LINE_FEED = '\n';

    /** Unused memory of the buffer above which it is given back, in bytes. */
    private static final int MAX_SPARE_BYTES = 64 * 1024;

    /** Bytes of the incomplete event. */
    private final ByteBuf partialEvent = Unpooled.buffer(0);

    /** Position of the incomplete line in the incomplete event. */
    private int lineStart;

    /** Id of the incomplete event, or null. */
    private String pendingId;

    /** Id of the last complete event that has a field, or null if it has none: the stream cannot be resumed after it. */
    private String lastEventId;

    /** Id of the last complete event that has one, or null. */
    private String precedingId;

    /** Description of the first bytes that do not belong to the stream, or null. */
    private String violation;

    /** Whether the incomplete event has a field, rather than comments only. */
    private boolean pendingField;

    /** Number of complete events that have a field. */
    private long progress;

    /** Number of complete events that have an id. */
    private long eventCount;

    /** Time of the last complete event that has an id, in milliseconds. */
    private long lastEventAt;

    /** Longest interval between two consecutive events that have an id, in milliseconds. */
    private long longestInterTokenMillis;

    EventFramer() {}

    /**
     * Appends bytes of the stream and returns those of the events that they complete, up to the first one that does
     * not belong to the stream.
     *
     * @param part the next bytes; they are consumed
     * @param now current time, in milliseconds
     * @return the bytes of the completed events, empty if no event was completed
     */
    byte[] append(ByteBuf part, long now) {
        int completeBytes = 0;
        while (part.isReadable() && violation == null) {
            int lineBytes = part.bytesBefore(LINE_FEED);
            partialEvent.writeBytes(part, lineBytes < 0 ? part.readableBytes() : lineBytes + 1);
            if (lineBytes >= 0) {
                if (endLine(now) && violation == null) {
                    completeBytes = partialEvent.writerIndex();
                }
                lineStart = partialEvent.writerIndex();
            }
        }
        byte[] complete = new byte[completeBytes];
        partialEvent.readBytes(complete);
        partialEvent.discardReadBytes();
        if (completeBytes > 0) {
            trim();
        }
        lineStart -= completeBytes;
        return complete;
    }

    /**
     * Interprets a complete line.
     *
     * @param now current time, in milliseconds
     * @return whether the line ends the event
     */
    private boolean endLine(long now) {
        int end = partialEvent.writerIndex();
        while (end > lineStart && Character.isWhitespace(partialEvent.getByte(end - 1))) {
            end--;
        }
        if (end == lineStart) {
            endEvent(now);
            return true;
        }
        pendingField |= partialEvent.getByte(lineStart) != COMMENT && !startsWith(RETRY_FIELD, end);
        if (startsWith(STATUS_LINE, end)) {
            violation = "head of another response";
        } else if (startsWith(ID_FIELD, end)) {
            int valueStart = lineStart + ID_FIELD.length;
            pendingId = partialEvent
                    .toString(valueStart, end - valueStart, StandardCharsets.UTF_8)
                    .strip();
        }
        return false;
    }

    private boolean startsWith(byte[] prefix, int end) {
        return end - lineStart >= prefix.length
                && ByteBufUtil.equals(partialEvent, lineStart, Unpooled.wrappedBuffer(prefix), 0, prefix.length);
    }

    /**
     * Updates the statistics after a complete event. Events without an id, such as comments, are not counted.
     *
     * @param now current time, in milliseconds
     */
    private void endEvent(long now) {
        if (pendingId != null && !follows(pendingId)) {
            violation = "event that does not follow event " + precedingId;
            return;
        }
        if (pendingField) {
            progress++;
            pendingField = false;
            lastEventId = pendingId;
        }
        if (pendingId != null) {
            if (eventCount > 0) {
                longestInterTokenMillis = Math.max(longestInterTokenMillis, now - lastEventAt);
            }
            lastEventAt = now;
            precedingId = pendingId;
            pendingId = null;
            eventCount++;
        }
    }

    /**
     * Indicates whether an id may come after that of the last complete event. Ids increase, also from one target to the next
     * one and over events without an id; only numbers can be compared.
     *
     * @param id id of the event
     * @return whether the event does not repeat or precede the last one
     */
    private boolean follows(String id) {
        try {
            return precedingId == null || Long.parseLong(id) > Long.parseLong(precedingId);
        } catch (NumberFormatException notComparable) {
            return true;
        }
    }

    /** Discards the incomplete event; a target that resumes the stream sends it from its beginning. */
    void discardPartialEvent() {
        partialEvent.clear();
        trim();
        lineStart = 0;
        pendingId = null;
        pendingField = false;
        violation = null;
    }

    /** Gives back the memory of a large event. */
    private void trim() {
        if (partialEvent.capacity() - partialEvent.writerIndex() > MAX_SPARE_BYTES) {
            partialEvent.capacity(partialEvent.writerIndex());
        }
    }

    /**
     * Returns what the target sent that does not belong to the stream: an event that does not follow the one before it, or
     * the head of another response. Nothing from there on is used.
     *
     * @return a description for the decision log, empty if there is no such thing
     */
    Optional<String> violation() {
        return Optional.ofNullable(violation);
    }

    boolean hasPartialEvent() {
        return partialEvent.isReadable();
    }

    /**
     * Returns a measure of how far the stream has come, which comments do not advance.
     *
     * @return the number of complete events that have a field
     */
    long progress() {
        return progress;
    }

    int partialEventBytes() {
        return partialEvent.readableBytes();
    }

    /**
     * Returns the size of the buffer of the incomplete event.
     *
     * @return the size in bytes, including memory that is not used yet
     */
    int bufferBytes() {
        return partialEvent.capacity();
    }

    Optional<String> lastEventId() {
        return Optional.ofNullable(lastEventId);
    }

    long longestInterTokenMillis() {
        return longestInterTokenMillis;
    }

    long eventCount() {
        return eventCount;
    }
}
