package org.bamboohatch.cli.command;

import javax.xml.parsers.DocumentBuilderFactory;
import javax.xml.parsers.ParserConfigurationException;
import javax.xml.transform.OutputKeys;
import javax.xml.transform.Transformer;
import javax.xml.transform.TransformerException;
import javax.xml.transform.TransformerFactory;
import javax.xml.transform.dom.DOMSource;
import javax.xml.transform.stream.StreamResult;

import java.io.StringWriter;
import java.util.List;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import org.w3c.dom.Document;
import org.w3c.dom.Element;

/** Ways to tell the story of a request. */
public enum StoryFormat {
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
            Document page = newDocument();
            Element root = page.createElement("html");
            page.appendChild(root);
            Element head = child(root, "head", "");
            child(head, "title", "Request " + request);
            child(head, "style", STYLE);
            Element body = child(root, "body", "");
            child(body, "h1", "Request " + request);
            child(body, "p", "Bold lines are decisions on the request, others what its processes believed.");
            Element table = child(body, "table", "");
            for (Entry entry : entries) {
                Element row = child(table, "tr", "");
                row.setAttribute("class", entry.own() ? "own" : "belief");
                child(row, "td", String.format("%+d ms", entry.offsetMillis()));
                child(row, "td", entry.source());
                child(row, "td", entry.words());
            }
            return write(page);
        }
    };

    /** Appearance of the page. */
    private static final String STYLE =
            "body { font-family: sans-serif } td { padding: 0.2em 1em; vertical-align: top } "
                    + "td:first-child { text-align: right } .own { font-weight: bold }";

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

    /**
     * Creates an empty document.
     *
     * @return the document
     */
    private static Document newDocument() {
        try {
            return DocumentBuilderFactory.newInstance().newDocumentBuilder().newDocument();
        } catch (ParserConfigurationException impossible) {
            throw new IllegalStateException(impossible);
        }
    }

    /**
     * Adds an element.
     *
     * @param parent the element around it
     * @param name its name
     * @param text its text
     * @return the element
     */
    private static Element child(Element parent, String name, String text) {
        Element element = parent.getOwnerDocument().createElement(name);
        element.setTextContent(text);
        parent.appendChild(element);
        return element;
    }

    /**
     * Writes a page.
     *
     * @param page the page
     * @return its text
     */
    private static String write(Document page) {
        try {
            Transformer transformer = TransformerFactory.newInstance().newTransformer();
            transformer.setOutputProperty(OutputKeys.METHOD, "html");
            StringWriter text = new StringWriter();
            transformer.transform(new DOMSource(page), new StreamResult(text));
            return text + System.lineSeparator();
        } catch (TransformerException impossible) {
            throw new IllegalStateException(impossible);
        }
    }
}
