package org.bamboohatch.gateway.target;

import java.nio.charset.StandardCharsets;
import java.util.Locale;

import io.netty.buffer.ByteBuf;

/**
 * Detects the head of another response within the body of a response: a status line followed by the field with the id of a
 * request, without an empty line between them. A target that sends a second response where the first one stops, or behind
 * one that ends with its connection, would otherwise add it to the body.
 */
final class EmbeddedHeadDetector {

    /** The beginning of a status line, with zeros for any digit. */
    private static final byte[] STATUS_LINE = "HTTP/1.0 000".getBytes(StandardCharsets.US_ASCII);

    /** The name of the field with the id of a request, in lower case, and the colon behind it. */
    private final byte[] fieldName;

    /** Number of bytes of a status line that the latest bytes match. */
    private int statusLineMatched;

    /** Number of bytes of the field name that the current line matches from its beginning, negative if it is another. */
    private int fieldNameMatched;

    /** Whether the current line contains the beginning of a status line. */
    private boolean statusLine;

    /** Whether a line before the current one contains the beginning of a status line, with no empty line since. */
    private boolean withinHead;

    private boolean lineEmpty = true;

    /** Number of bytes examined so far. */
    private long examined;

    /** Number of bytes before the status line, if there is one with no empty line since. */
    private long headStart;

    private boolean detected;

    /**
     * Creates a detector for one body.
     *
     * @param requestIdField name of the header field with the id of a request
     */
    EmbeddedHeadDetector(String requestIdField) {
        this.fieldName = (requestIdField.toLowerCase(Locale.ROOT) + ':').getBytes(StandardCharsets.US_ASCII);
    }

    /**
     * Examines the next part of the body.
     *
     * @param part the bytes; not consumed
     * @return whether the head of another response was detected so far
     */
    boolean append(ByteBuf part) {
        part.forEachByte(next -> {
            accept(next);
            return !detected;
        });
        return detected;
    }

    /**
     * Indicates whether the body has stopped within the head of another response, as far as the bytes behind it tell.
     *
     * @param following the bytes behind the body; not consumed
     * @return whether the latest bytes of the body and those behind it may be the beginning of a head
     */
    boolean isWithinHead(ByteBuf following) {
        if (withinHead || statusLine) {
            return following.isReadable();
        }
        int rest = Math.min(following.readableBytes(), STATUS_LINE.length - statusLineMatched);
        for (int index = 0; index < rest; index++) {
            if (!matchesStatusLine(following.getByte(following.readerIndex() + index), statusLineMatched + index)) {
                return false;
            }
        }
        return statusLineMatched > 0 && rest > 0;
    }

    private static boolean matchesStatusLine(byte next, int position) {
        byte expected = STATUS_LINE[position];
        return expected == '0' ? next >= '0' && next <= '9' : next == expected;
    }

    long examined() {
        return examined;
    }

    /**
     * Returns where the head of another response begins, or may begin.
     *
     * @return number of bytes of the body before it
     */
    long headStart() {
        return withinHead || statusLine ? headStart : examined - statusLineMatched;
    }

    private void accept(byte next) {
        examined++;
        if (next == '\n') {
            withinHead = statusLine || withinHead && !lineEmpty;
            statusLine = false;
            statusLineMatched = 0;
            fieldNameMatched = 0;
            lineEmpty = true;
        } else if (next != '\r') {
            lineEmpty = false;
            matchFieldName(next);
            matchStatusLine(next);
        }
    }

    private void matchFieldName(byte next) {
        if (fieldNameMatched >= 0 && fieldNameMatched < fieldName.length) {
            boolean matches = Character.toLowerCase(next) == fieldName[fieldNameMatched];
            fieldNameMatched = matches ? fieldNameMatched + 1 : -1;
            detected = withinHead && fieldNameMatched == fieldName.length;
        }
    }

    private void matchStatusLine(byte next) {
        if (statusLineMatched == STATUS_LINE.length) {
            statusLineMatched = 0;
        }
        boolean matches = matchesStatusLine(next, statusLineMatched);
        statusLineMatched = matches ? statusLineMatched + 1 : next == STATUS_LINE[0] ? 1 : 0;
        if (statusLineMatched == STATUS_LINE.length && !statusLine) {
            statusLine = true;
            headStart = withinHead ? headStart : examined - statusLineMatched;
        }
    }
}
