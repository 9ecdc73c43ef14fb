package org.bamboohatch.kernel.stream;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.function.Consumer;

/** Cuts a response of server-sent events into the data of its events. */
public final class ServerSentEventParser {

    /** Begins the data of an event. */
    private static final String DATA_PREFIX = "data:";

    /** Takes the data of each event. */
    private final Consumer<String> events;

    /** The line so far. */
    private final ByteArrayOutputStream line = new ByteArrayOutputStream();

    /**
     * Creates a parser.
     *
     * @param events takes the data of each event
     */
    public ServerSentEventParser(Consumer<String> events) {
        this.events = events;
    }

    /**
     * Takes a part of the response.
     *
     * @param part the part
     */
    public void parse(ByteBuffer part) {
        while (part.hasRemaining()) {
            byte next = part.get();
            if (next == '\n') {
                endLine();
            } else {
                line.write(next);
            }
        }
    }

    /** Hands over the line if it carries data. */
    private void endLine() {
        String text = line.toString(StandardCharsets.UTF_8).strip();
        line.reset();
        if (text.startsWith(DATA_PREFIX)) {
            events.accept(text.substring(DATA_PREFIX.length()).strip());
        }
    }
}
