package org.bamboohatch.cli.command;

import java.util.List;

/** Builder of a self-contained HTML page with one table. */
final class TablePage {

    /** Style sheet of the page. */
    private static final String STYLE = "td{padding:2px 8px;font:13px monospace}";

    private final StringBuilder page = new StringBuilder();

    /**
     * Starts a page.
     *
     * @param title title of the page
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
     * @param attributes HTML attributes of the row, empty or with a leading space
     * @param cells unescaped texts of the cells
     */
    void addRow(String attributes, List<String> cells) {
        page.append("<tr").append(attributes).append('>');
        for (String cell : cells) {
            page.append("<td>").append(escape(cell)).append("</td>");
        }
        page.append("</tr>\n");
    }

    /**
     * Completes the page.
     *
     * @return HTML text of the page
     */
    String finish() {
        return page.append("</table>").toString();
    }

    /**
     * Escapes the characters that have a meaning in HTML text.
     *
     * @param text unescaped text
     */
    private static String escape(String text) {
        return text.replace("&", "&amp;").replace("<", "&lt;").replace(">", "&gt;");
    }
}
