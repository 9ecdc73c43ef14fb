package org.bamboohatch.gateway.forward;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Optional;

import io.netty.buffer.ByteBuf;

/**
 * Cuts a stream of events after whole events, so that nothing of a torn one is passed on, and keeps the id of the
 * last whole one.
 */
final class EventFramer {

    /** Begins the line with an event's id. */
    private static final String ID_FIELD = "id:";

    /** Bytes of the event that is not whole yet. */
    private final ByteArrayOutputStream partial = new ByteArrayOutputStream();

    /** The line that is not whole yet. */
    private final ByteArrayOutputStream line = new ByteArrayOutputStream();

    /** Id of the event that is not whole yet, or null. */
    private String pendingId;

    /** Id of the last whole event, or null. */
    private String lastId;

    /** Whole events so far. */
    private long events;

    /** Time of the last whole event, in milliseconds. */
    private long lastAt;

    /** Longest pause between two whole events, in milliseconds. */
    private long longestPause;

    /** Creates a cutter at the beginning of a stream. */
    EventFramer() {}

    /**
     * Takes a part of the stream.
     *
     * @param part the part
     * @param now the present time, in milliseconds
     * @return the bytes of the events that are whole now, empty if there is none
     */
    byte[] take(ByteBuf part, long now) {
        ByteArrayOutputStream whole = new ByteArrayOutputStream();
        while (part.isReadable()) {
            byte next = part.readByte();
            partial.write(next);
            if (next != '\n') {
                line.write(next);
                continue;
            }
            String text = line.toString(StandardCharsets.UTF_8).stripTrailing();
            line.reset();
            if (text.startsWith(ID_FIELD)) {
                pendingId = text.substring(ID_FIELD.length()).strip();
            } else if (text.isEmpty()) {
                whole.writeBytes(partial.toByteArray());
                partial.reset();
                endEvent(now);
            }
        }
        return whole.toByteArray();
    }

    /**
     * Takes note of a whole event.
     *
     * @param now the present time, in milliseconds
     */
    private void endEvent(long now) {
        if (pendingId != null) {
            if (events > 0) {
                longestPause = Math.max(longestPause, now - lastAt);
            }
            lastAt = now;
            lastId = pendingId;
            pendingId = null;
            events++;
        }
    }

    /** Forgets the event that is not whole: another target begins it anew. */
    void dropPartial() {
        partial.reset();
        line.reset();
        pendingId = null;
    }

    /**
     * Tells whether part of an event is kept.
     *
     * @return whether the stream stands within an event
     */
    boolean hasPartial() {
        return partial.size() > 0;
    }

    /**
     * Returns the id of the last whole event.
     *
     * @return the id, empty before the first
     */
    Optional<String> lastId() {
        return Optional.ofNullable(lastId);
    }

    /**
     * Returns the longest pause between two whole events.
     *
     * @return the pause in milliseconds
     */
    long longestPause() {
        return longestPause;
    }

    /**
     * Counts the whole events.
     *
     * @return their number
     */
    long events() {
        return events;
    }
}
