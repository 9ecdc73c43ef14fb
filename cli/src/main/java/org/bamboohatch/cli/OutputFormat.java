package org.bamboohatch.cli;

import java.util.List;
import java.util.Map;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;

/** Formats of printed rows. */
public enum OutputFormat {
    /** Aligned columns with a header line, for people. */
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
    /** JSON array with one object per row, for programs. */
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

    /** Number of spaces between two columns. */
    private static final int COLUMN_GAP = 2;

    /**
     * Formats rows.
     *
     * @param rows rows that all have the same keys in the same order
     * @return text with a final line end
     */
    public abstract String render(List<Map<String, Object>> rows);

    /**
     * Returns the width of a column, including its header.
     *
     * @param rows rows to format
     * @param column key of the column
     */
    private static int width(List<Map<String, Object>> rows, String column) {
        int longest = rows.stream()
                .mapToInt(row -> String.valueOf(row.get(column)).length())
                .max()
                .orElse(0);
        return Math.max(longest, column.length());
    }

    /**
     * Pads a text to the width of its column and adds the gap to the next column.
     *
     * @param text text of the cell
     * @param width width of the column
     */
    private static String pad(String text, int width) {
        return text + " ".repeat(width + COLUMN_GAP - text.length());
    }
}
