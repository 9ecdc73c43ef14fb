package org.bamboohatch.cli.command;

import java.util.List;

/** A page with one table that needs no other file. */
final class TablePage {

    /** Appearance of the cells. */
    private static final String STYLE = "td{padding:2px 8px;font:13px monospace}";

    /** The page so far. */
    private final StringBuilder page = new StringBuilder();

    /**
     * Begins a page.
     *
     * @param title its title
     * @param introduction paragraphs before the table
     */
    TablePage(String title, String... introduction) {
        page.append("<!doctype html><meta charset=\"utf-8\"><title>")
                .append(escape(title))
                .append("</title><style>")
                .append(STYLE)
                .append("</style>");
        for (String paragraph : introduction) {
            page.append("<p>").append(escape(paragraph)).append("</p>");
        }
        page.append("<table>");
    }

    /**
     * Adds a row.
     *
     * @param attributes attributes of the row, empty or with a leading blank
     * @param cells texts of its cells
     */
    void row(String attributes, List<String> cells) {
        page.append("<tr").append(attributes).append('>');
        for (String cell : cells) {
            page.append("<td>").append(escape(cell)).append("</td>");
        }
        page.append("</tr>\n");
    }

    /**
     * Ends the page.
     *
     * @return its text
     */
    String end() {
        return page.append("</table>").toString();
    }

    /**
     * Escapes a text.
     *
     * @param text the text
     * @return the text without characters that have a meaning in a page
     */
    private static String escape(String text) {
        return text.replace("&", "&amp;").replace("<", "&lt;").replace(">", "&gt;");
    }
}
