package org.bamboohatch.cli.command;

import java.io.BufferedReader;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import org.bamboohatch.cli.Context;
import org.bamboohatch.cli.ExitStatus;
import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.Option;

/** Tells from the logs of many processes what became of a request, and what its processes believed meanwhile. */
public final class Explain implements Command {

    /** Begins a structured line; a collector may have put words in front of it. */
    private static final String LINE_BEGIN = "{\"time\"";

    /** Time around the request for which changes of belief are told, in milliseconds. */
    private static final long BELIEF_MARGIN_MS = 2_000;

    /** Reads lines. */
    private static final ObjectMapper MAPPER = new ObjectMapper();

    /** Field of a decision with the request's id. */
    private static final String REQUEST = "request";

    /** Field of an order about an engine's memory, which does not name the request that it is for. */
    private static final String RESERVATION = "reservation";

    /** The request. */
    @Option(name = "--request", metaVar = "ID", required = true, usage = "id of the request")
    private String request;

    /** How the story is told. */
    @Option(name = "--format", metaVar = "FORMAT", usage = "text, json or html")
    private ExplanationFormat format = ExplanationFormat.TEXT;

    /** The files. */
    @Argument(metaVar = "FILE", required = true, usage = "logs of processes, as JSON lines")
    private List<Path> files = new ArrayList<>();

    /** Used by the command line parser. */
    public Explain() {}

    /**
     * One line of a log.
     *
     * @param source name of the file
     * @param time time of day, in Unix milliseconds
     * @param message what was logged
     */
    record Line(String source, long time, JsonNode message) {

        /**
         * Tells whether the line is a decision on a request.
         *
         * @param id id of the request
         * @return whether it is
         */
        boolean isAbout(String id) {
            return message.path(REQUEST).asText().equals(id);
        }

        /**
         * Tells whether the line is about no request, but about what the process believes.
         *
         * @return whether it is
         */
        boolean isBelief() {
            return !message.has(REQUEST) && !message.has(RESERVATION);
        }

        /**
         * Tells whether the line is an order about memory at an engine that helped with a request.
         *
         * @param own the decisions on the request
         * @return whether one of them names the engine among its helpers
         */
        boolean isOrderFor(List<Line> own) {
            String target = message.path("target").asText();
            return message.has(RESERVATION)
                    && own.stream()
                            .anyMatch(line -> line.source().equals(source)
                                    && line.message().path("helpers").asText().contains(target));
        }

        /**
         * Describes the line in words.
         *
         * @return the words
         */
        String words() {
            if (message.isTextual()) {
                return message.asText();
            }
            Map<String, String> inputs = new TreeMap<>();
            message.properties()
                    .forEach(
                            field -> inputs.put(field.getKey(), field.getValue().asText()));
            inputs.keySet().removeAll(List.of("part", "event", REQUEST));
            return message.path("event").asText() + " " + inputs;
        }
    }

    @Override
    public ExitStatus run(Context context) {
        List<Line> lines = new ArrayList<>();
        for (Path file : files) {
            try (BufferedReader reader = Files.newBufferedReader(file)) {
                read(file.getFileName().toString(), reader, lines);
            } catch (IOException unreadable) {
                context.tell(file + ": cannot be read: " + unreadable.getMessage());
                return ExitStatus.INVALID;
            }
        }
        List<Line> story = story(lines, request);
        if (story.isEmpty()) {
            context.tell("no line names the request " + request);
            return ExitStatus.NOT_FOUND;
        }
        long begin = story.stream()
                .filter(line -> line.isAbout(request))
                .findFirst()
                .orElseThrow()
                .time();
        List<ExplanationFormat.Entry> entries = story.stream()
                .map(line ->
                        new ExplanationFormat.Entry(!line.isBelief(), line.time() - begin, line.source(), line.words()))
                .toList();
        context.tell(format.render(request, entries).stripTrailing());
        return ExitStatus.DONE;
    }

    /**
     * Reads the structured lines of a log.
     *
     * @param source name of the log
     * @param reader the log
     * @param lines takes the lines
     * @throws IOException if the log cannot be read
     */
    static void read(String source, BufferedReader reader, List<Line> lines) throws IOException {
        for (String text = reader.readLine(); text != null; text = reader.readLine()) {
            int begin = text.indexOf(LINE_BEGIN);
            if (begin < 0) {
                continue;
            }
            try {
                JsonNode line = MAPPER.readTree(text.substring(begin));
                lines.add(new Line(source, line.path("time").asLong(), line.path("message")));
            } catch (JsonProcessingException cutShort) {
                // The last line of a process that was killed; there is nothing in it to tell.
                continue;
            }
        }
    }

    /**
     * Chooses the lines that explain a request.
     *
     * @param lines all lines
     * @param id id of the request
     * @return its decisions, orders to its helpers, and changes of belief of the same processes around them, by time
     */
    static List<Line> story(List<Line> lines, String id) {
        List<Line> own = lines.stream().filter(line -> line.isAbout(id)).toList();
        if (own.isEmpty()) {
            return List.of();
        }
        List<String> sources = own.stream().map(Line::source).distinct().toList();
        long begin = own.stream().mapToLong(Line::time).min().orElseThrow() - BELIEF_MARGIN_MS;
        long end = own.stream().mapToLong(Line::time).max().orElseThrow();
        return lines.stream()
                .filter(line -> line.isAbout(id)
                        || (line.isBelief() || line.isOrderFor(own))
                                && sources.contains(line.source())
                                && line.time() >= begin
                                && line.time() <= end)
                .sorted(Comparator.comparingLong(Line::time))
                .toList();
    }
}
