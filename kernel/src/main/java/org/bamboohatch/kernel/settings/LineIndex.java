package org.bamboohatch.kernel.settings;

import java.io.IOException;
import java.util.HashMap;
import java.util.Map;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.dataformat.yaml.YAMLFactory;

/** Maps the paths of a YAML text to line numbers. */
final class LineIndex {

    private final Map<String, Integer> lines;

    private LineIndex(Map<String, Integer> lines) {
        this.lines = lines;
    }

    /**
     * Indexes a text. If the text is malformed, the index covers the lines before the error.
     *
     * @param text YAML text
     */
    static LineIndex of(String text) {
        Map<String, Integer> lines = new HashMap<>();
        try (JsonParser parser = new YAMLFactory().createParser(text)) {
            for (JsonToken token = parser.nextToken(); token != null; token = parser.nextToken()) {
                lines.putIfAbsent(path(parser), parser.currentTokenLocation().getLineNr());
            }
        } catch (IOException malformed) {
            return new LineIndex(lines);
        }
        return new LineIndex(lines);
    }

    /**
     * Returns the line of a path, or of its nearest parent if the path is not present.
     *
     * @param path path such as {@code accounts[0].weight}
     * @return line number, starting at 1
     */
    int line(String path) {
        String current = path;
        while (!current.isEmpty()) {
            Integer line = lines.get(current);
            if (line != null) {
                return line;
            }
            int parentLength = Math.max(current.lastIndexOf('.'), current.lastIndexOf('['));
            current = parentLength <= 0 ? "" : current.substring(0, parentLength);
        }
        return 1;
    }

    /**
     * Returns the current position of a parser as a path.
     *
     * @param parser parser of the text
     * @return path such as {@code accounts[0].weight}
     */
    private static String path(JsonParser parser) {
        String pointer = parser.getParsingContext().pathAsPointer().toString();
        StringBuilder path = new StringBuilder();
        for (String part : pointer.split("/")) {
            if (part.matches("\\d+")) {
                path.append('[').append(part).append(']');
            } else if (!part.isEmpty()) {
                path.append(path.isEmpty() ? "" : ".").append(part);
            }
        }
        return path.toString();
    }
}
