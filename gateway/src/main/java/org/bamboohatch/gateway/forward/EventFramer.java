package org.bamboohatch.gateway.forward;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Optional;

import io.netty.buffer.ByteBuf;

/**
 * Splits a server-sent event stream at event boundaries, so that no part of a truncated event is forwarded. Tracks the
 * id of the last complete event, from which another target can resume the stream.
 */
final class EventFramer {

    /** Prefix of the line that carries an event's id. */
    private static final String ID_FIELD = "id:";

    /** Prefix of a line that carries no data, such as those that only keep a connection alive. */
    private static final String COMMENT = ":";

    /** Bytes of the incomplete event. */
    private final ByteArrayOutputStream partialEvent = new ByteArrayOutputStream();

    /** Bytes of the incomplete line. */
    private final ByteArrayOutputStream partialLine = new ByteArrayOutputStream();

    /** Id of the incomplete event, or null. */
    private String pendingId;

    /** Id of the last complete event, or null. */
    private String lastEventId;

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
     * Appends bytes of the stream and returns those of the events that they complete.
     *
     * @param part the next bytes; they are consumed
     * @param now current time, in milliseconds
     * @return the bytes of the completed events, empty if no event was completed
     */
    byte[] append(ByteBuf part, long now) {
        ByteArrayOutputStream complete = new ByteArrayOutputStream();
        while (part.isReadable()) {
            byte next = part.readByte();
            partialEvent.write(next);
            if (next != '\n') {
                partialLine.write(next);
                continue;
            }
            String text = partialLine.toString(StandardCharsets.UTF_8).stripTrailing();
            partialLine.reset();
            pendingField |= !text.isEmpty() && !text.startsWith(COMMENT);
            if (text.startsWith(ID_FIELD)) {
                pendingId = text.substring(ID_FIELD.length()).strip();
            } else if (text.isEmpty()) {
                complete.writeBytes(partialEvent.toByteArray());
                partialEvent.reset();
                endEvent(now);
            }
        }
        return complete.toByteArray();
    }

    /**
     * Updates the statistics after a complete event. Events without an id, such as comments, are not counted.
     *
     * @param now current time, in milliseconds
     */
    private void endEvent(long now) {
        if (pendingField) {
            progress++;
            pendingField = false;
        }
        if (pendingId != null) {
            if (eventCount > 0) {
                longestInterTokenMillis = Math.max(longestInterTokenMillis, now - lastEventAt);
            }
            lastEventAt = now;
            lastEventId = pendingId;
            pendingId = null;
            eventCount++;
        }
    }

    /** Discards the incomplete event; a target that resumes the stream sends it from its beginning. */
    void discardPartialEvent() {
        partialEvent.reset();
        partialLine.reset();
        pendingId = null;
        pendingField = false;
    }

    boolean hasPartialEvent() {
        return partialEvent.size() > 0;
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
        return partialEvent.size();
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
