package org.bamboohatch.cli.command;

import java.util.List;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;

/** Formats of the explanation of a request. */
public enum ExplanationFormat {
    /** One line per entry, for people. */
    TEXT {
        @Override
        String render(String request, List<Entry> entries) {
            StringBuilder text = new StringBuilder();
            for (Entry entry : entries) {
                String mark = entry.own() ? "*" : " ";
                text.append(String.format(
                        "%s %+7d ms  %s  %s%n", mark, entry.offsetMillis(), entry.source(), entry.words()));
            }
            return text.toString();
        }
    },
    /** JSON array with one object per entry, for programs. */
    JSON {
        @Override
        String render(String request, List<Entry> entries) {
            try {
                return new ObjectMapper().writerWithDefaultPrettyPrinter().writeValueAsString(entries)
                        + System.lineSeparator();
            } catch (JsonProcessingException impossible) {
                throw new IllegalStateException(impossible);
            }
        }
    },
    /** Self-contained HTML page. */
    HTML {
        @Override
        String render(String request, List<Entry> entries) {
            TablePage page = new TablePage(
                    "Request " + request,
                    "Request " + request,
                    "Bold lines concern the request; the others show the state of the processes that handled it.");
            for (Entry entry : entries) {
                page.addRow(
                        entry.own() ? OWN_ATTRIBUTES : "",
                        List.of(String.format("%+d ms", entry.offsetMillis()), entry.source(), entry.words()));
            }
            return page.finish() + System.lineSeparator();
        }
    };

    /** HTML attributes of rows that concern the request. */
    private static final String OWN_ATTRIBUTES = " class=\"own\" style=\"font-weight:bold\"";

    /**
     * Entry of an explanation. The names of its components are written to JSON.
     *
     * @param own whether the entry concerns the request itself; otherwise, it shows the state of a process at the time
     * @param offsetMillis time since the first decision on the request, in milliseconds; negative before it
     * @param source name of the log file
     * @param words description of what happened
     */
    record Entry(boolean own, long offsetMillis, String source, String words) {}

    /**
     * Formats an explanation.
     *
     * @param request id of the request
     * @param entries entries in the order of their time
     * @return text with a final line end
     */
    abstract String render(String request, List<Entry> entries);
}
