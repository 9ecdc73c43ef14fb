package org.bamboohatch.kernel.settings;

import java.io.IOException;
import java.util.HashMap;
import java.util.Map;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.dataformat.yaml.YAMLFactory;

/** Finds the line of each path in a YAML text. */
final class LineIndex {

    /** Lines by path. */
    private final Map<String, Integer> lines;

    /**
     * Creates an index.
     *
     * @param lines lines by path
     */
    private LineIndex(Map<String, Integer> lines) {
        this.lines = lines;
    }

    /**
     * Reads a text.
     *
     * @param text the YAML text
     * @return the index
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
     * Returns the line of a path, or of its nearest parent.
     *
     * @param path the path
     * @return the line, counted from one
     */
    int line(String path) {
        String current = path;
        while (!current.isEmpty()) {
            Integer line = lines.get(current);
            if (line != null) {
                return line;
            }
            int cut = Math.max(current.lastIndexOf('.'), current.lastIndexOf('['));
            current = cut <= 0 ? "" : current.substring(0, cut);
        }
        return 1;
    }

    /**
     * Renders the parser's position as a path.
     *
     * @param parser the parser
     * @return the path
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
