package org.bamboohatch.kernel.stream;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;

/**
 * Extracts the data from a stream of server-sent events. Each {@code data} line is delivered by itself; other fields
 * are ignored.
 */
public final class ServerSentEventParser {

    private static final String DATA_PREFIX = "data:";

    /** Maximum length of a line, in bytes. */
    private static final int MAX_LINE_BYTES = 1024 * 1024;

    private final DataConsumer consumer;

    /** Bytes of the current, incomplete line. */
    private final ByteArrayOutputStream line = new ByteArrayOutputStream();

    /** Receives the data of events. */
    @FunctionalInterface
    public interface DataConsumer {

        /**
         * Receives the data of an event.
         *
         * @param data the data, without surrounding white space
         * @throws IOException if the stream must not be read on
         */
        void accept(String data) throws IOException;
    }

    /**
     * Creates a parser at the start of a stream.
     *
     * @param consumer receives the data of each event
     */
    public ServerSentEventParser(DataConsumer consumer) {
        this.consumer = consumer;
    }

    /**
     * Parses the next part of the stream. Parts may end anywhere, also within a character.
     *
     * @param part next bytes of the stream, which are consumed
     * @throws IOException if a line is too long or malformed, or the consumer refuses the data of an event
     */
    public void parse(ByteBuffer part) throws IOException {
        while (part.hasRemaining()) {
            byte next = part.get();
            if (next == '\n') {
                endLine();
            } else if (line.size() == MAX_LINE_BYTES) {
                throw new IOException("line over " + MAX_LINE_BYTES + " bytes");
            } else {
                line.write(next);
            }
        }
    }

    /** Completes the current line and delivers its data, if any. */
    private void endLine() throws IOException {
        String text = StandardCharsets.UTF_8
                .newDecoder()
                .decode(ByteBuffer.wrap(line.toByteArray()))
                .toString()
                .strip();
        line.reset();
        if (text.startsWith(DATA_PREFIX)) {
            consumer.accept(text.substring(DATA_PREFIX.length()).strip());
        }
    }
}
