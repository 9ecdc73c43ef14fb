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

/**
 * Explains from the logs of several processes how a request was handled, with the changes of state of these processes
 * at the time.
 */
public final class Explain implements Command {

    /** Start of a structured line. A log collector may have added a prefix to the line. */
    private static final String LINE_START = "{\"time\"";

    /** Time before the first decision on the request from which context lines are included. */
    private static final long CONTEXT_MARGIN_MS = 2_000;

    private static final ObjectMapper MAPPER = new ObjectMapper();

    /** Field of a decision that holds the id of the request. */
    private static final String REQUEST = "request";

    /** Field of a memory command that holds the reservation. The line of a command does not name the request. */
    private static final String RESERVATION = "reservation";

    @Option(name = "--request", metaVar = "ID", required = true, usage = "id of the request")
    private String request;

    @Option(name = "--format", metaVar = "FORMAT", usage = "text, json or html")
    private ExplanationFormat format = ExplanationFormat.TEXT;

    @Argument(metaVar = "FILE", required = true, usage = "logs of processes, as JSON lines")
    private List<Path> files = new ArrayList<>();

    /** Creates the command with its default options; called by the command line parser. */
    public Explain() {}

    /**
     * Structured line of a log.
     *
     * @param source name of the log file
     * @param time wall time in milliseconds since the epoch
     * @param message plain text, or an object with the fields of a decision
     */
    record Line(String source, long time, JsonNode message) {

        /**
         * Indicates whether the line is a decision on a request.
         *
         * @param id id of the request
         */
        boolean isAbout(String id) {
            return message.path(REQUEST).asText().equals(id);
        }

        /** Indicates whether the line concerns no particular request, such as a change of the view of the cluster. */
        boolean isContext() {
            return !message.has(REQUEST) && !message.has(RESERVATION);
        }

        /**
         * Indicates whether the line is a memory command to an engine that helped with a request.
         *
         * @param decisions decisions on the request
         * @return whether a decision in the same log names the engine among its helpers
         */
        boolean isMemoryCommandFor(List<Line> decisions) {
            String target = message.path("target").asText();
            return message.has(RESERVATION)
                    && decisions.stream()
                            .anyMatch(line -> line.source().equals(source)
                                    && line.message().path("helpers").asText().contains(target));
        }

        /**
         * Returns a description of the line for people.
         *
         * @return the plain text, or the event and the other fields of the decision
         */
        String description() {
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
                context.printMessage(file + ": cannot be read: " + unreadable.getMessage());
                return ExitStatus.INVALID;
            }
        }
        List<Line> selected = selectLines(lines, request);
        if (selected.isEmpty()) {
            context.printMessage("no line names the request " + request);
            return ExitStatus.NOT_FOUND;
        }
        long begin = selected.stream()
                .filter(line -> line.isAbout(request))
                .findFirst()
                .orElseThrow()
                .time();
        List<ExplanationFormat.Entry> entries = selected.stream()
                .map(line -> new ExplanationFormat.Entry(
                        !line.isContext(), line.time() - begin, line.source(), line.description()))
                .toList();
        context.printMessage(format.render(request, entries).stripTrailing());
        return ExitStatus.DONE;
    }

    /**
     * Reads the structured lines of a log. Other lines and incomplete ones are ignored.
     *
     * @param source name of the log file
     * @param reader reader of the log
     * @param lines receives the structured lines
     * @throws IOException if the log cannot be read
     */
    static void read(String source, BufferedReader reader, List<Line> lines) throws IOException {
        for (String text = reader.readLine(); text != null; text = reader.readLine()) {
            int begin = text.indexOf(LINE_START);
            if (begin < 0) {
                continue;
            }
            try {
                JsonNode line = MAPPER.readTree(text.substring(begin));
                lines.add(new Line(source, line.path("time").asLong(), line.path("message")));
            } catch (JsonProcessingException incomplete) {
                // The last line of a process that was killed may be incomplete.
                continue;
            }
        }
    }

    /**
     * Selects the lines that explain a request.
     *
     * @param lines lines of all logs
     * @param id id of the request
     * @return decisions on the request, memory commands to its helpers, and context lines of the same processes, by
     *     time; empty if no decision names the request
     */
    static List<Line> selectLines(List<Line> lines, String id) {
        List<Line> decisions = lines.stream().filter(line -> line.isAbout(id)).toList();
        if (decisions.isEmpty()) {
            return List.of();
        }
        List<String> sources = decisions.stream().map(Line::source).distinct().toList();
        long begin = decisions.stream().mapToLong(Line::time).min().orElseThrow() - CONTEXT_MARGIN_MS;
        long end = decisions.stream().mapToLong(Line::time).max().orElseThrow();
        return lines.stream()
                .filter(line -> line.isAbout(id)
                        || (line.isContext() || line.isMemoryCommandFor(decisions))
                                && sources.contains(line.source())
                                && line.time() >= begin
                                && line.time() <= end)
                .sorted(Comparator.comparingLong(Line::time))
                .toList();
    }
}
