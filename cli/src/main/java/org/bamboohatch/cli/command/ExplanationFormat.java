package org.bamboohatch.cli.command;

import java.util.List;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;

/** Ways to tell the story of a request. */
public enum ExplanationFormat {
    /** Lines for people. */
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
    /** JSON for programs. */
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
    /** A page that needs no other file. */
    HTML {
        @Override
        String render(String request, List<Entry> entries) {
            TablePage page = new TablePage(
                    "Request " + request,
                    "Request " + request,
                    "Bold lines are decisions on the request, others what its processes believed.");
            for (Entry entry : entries) {
                page.row(
                        entry.own() ? OWN : "",
                        List.of(String.format("%+d ms", entry.offsetMillis()), entry.source(), entry.words()));
            }
            return page.end() + System.lineSeparator();
        }
    };

    /** Attributes of a row that is a decision on the request. */
    private static final String OWN = " class=\"own\" style=\"font-weight:bold\"";

    /**
     * One line of a story.
     *
     * @param own whether it is a decision on the request, rather than what a process believed
     * @param offsetMillis time since the first decision, in milliseconds
     * @param source name of the log
     * @param words what happened
     */
    record Entry(boolean own, long offsetMillis, String source, String words) {}

    /**
     * Renders a story.
     *
     * @param request id of the request
     * @param entries the lines
     * @return the text
     */
    abstract String render(String request, List<Entry> entries);
}
