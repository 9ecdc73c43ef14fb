package org.bamboohatch.cli;

import java.util.List;
import java.util.Map;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;

/** Ways to print results. */
public enum OutputFormat {
    /** Columns for people. */
    TABLE {
        @Override
        public String render(List<Map<String, Object>> rows) {
            if (rows.isEmpty()) {
                return "(none)\n";
            }
            List<String> columns = List.copyOf(rows.get(0).keySet());
            StringBuilder text = new StringBuilder();
            for (String column : columns) {
                text.append(pad(column.toUpperCase(java.util.Locale.ROOT), width(rows, column)));
            }
            text.append('\n');
            for (Map<String, Object> row : rows) {
                for (String column : columns) {
                    text.append(pad(String.valueOf(row.get(column)), width(rows, column)));
                }
                text.append('\n');
            }
            return text.toString();
        }
    },
    /** JSON for programs. */
    JSON {
        @Override
        public String render(List<Map<String, Object>> rows) {
            try {
                return new ObjectMapper().writerWithDefaultPrettyPrinter().writeValueAsString(rows) + "\n";
            } catch (JsonProcessingException impossible) {
                throw new IllegalStateException(impossible);
            }
        }
    };

    /** Spaces between two columns. */
    private static final int GAP = 2;

    /**
     * Renders rows.
     *
     * @param rows the rows, all with the same keys in the same order
     * @return the text
     */
    public abstract String render(List<Map<String, Object>> rows);

    /**
     * Returns the width of a column.
     *
     * @param rows the rows
     * @param column the column
     * @return the longest text
     */
    private static int width(List<Map<String, Object>> rows, String column) {
        int longest = rows.stream()
                .mapToInt(row -> String.valueOf(row.get(column)).length())
                .max()
                .orElse(0);
        return Math.max(longest, column.length());
    }

    /**
     * Fills a text up to a width.
     *
     * @param text the text
     * @param width the width
     * @return the filled text
     */
    private static String pad(String text, int width) {
        return text + " ".repeat(width + GAP - text.length());
    }
}
