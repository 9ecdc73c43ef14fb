package org.bamboohatch.cli.command;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.StringReader;
import java.util.ArrayList;
import java.util.List;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class ExplainTest {

    private static final String GATEWAY = """
            {"time":1000,"message":"fleet: control does not answer"}
            not a structured line
            12.3 host {"time":4000,"message":"fleet: control answers again"}
            {"time":4100,"message":{"part":"request","event":"placed","request":"a","target":"i-1"}}
            {"time":4150,"message":{"part":"request","event":"placed","request":"b","target":"i-2"}}
            {"time":4300,"message":{"part":"request","event":"lost","request":"a","reason":"reset"}}
            {"time":4400,"message":{"part":"request","ev""";

    private static final String OTHER = """
            {"time":4200,"message":"fleet: control does not answer"}
            """;

    @Test
    void selectsDecisionsOnRequestAndContextOfItsProcess() throws IOException {
        List<Explain.Line> lines = new ArrayList<>();
        Explain.read("gateway.log", new BufferedReader(new StringReader(GATEWAY)), lines);
        Explain.read("other.log", new BufferedReader(new StringReader(OTHER)), lines);
        assertThat(Explain.selectLines(lines, "a"))
                .extracting(Explain.Line::description)
                .containsExactly("fleet: control answers again", "placed {target=i-1}", "lost {reason=reset}");
        assertThat(Explain.selectLines(lines, "unknown")).isEmpty();
    }

    @Test
    void selectsMemoryCommandsToHelpersOfRequest() throws IOException {
        List<Explain.Line> lines = new ArrayList<>();
        String log = """
                {"time":1000,"message":{"event":"placed","request":"a","target":"i-1","helpers":"[i-2, i-3]"}}
                {"time":1010,"message":{"event":"reserve","reservation":"g-1","target":"i-2","reply":"DONE"}}
                {"time":1011,"message":{"event":"reserve","reservation":"g-2","target":"i-9","reply":"DONE"}}
                {"time":1400,"message":{"event":"first","request":"a","target":"i-1"}}
                """;
        Explain.read("gateway.log", new BufferedReader(new StringReader(log)), lines);
        assertThat(Explain.selectLines(lines, "a"))
                .extracting(line -> line.message().path("event").asText()
                        + line.message().path("reservation").asText())
                .containsExactly("placed", "reserveg-1", "first");
    }

    @Test
    void formatsExplanationAsTextJsonAndHtml() {
        List<ExplanationFormat.Entry> entries = List.of(
                new ExplanationFormat.Entry(false, -100, "gateway.log", "fleet: control answers again"),
                new ExplanationFormat.Entry(true, 0, "gateway.log", "lost {reason=<b> & reset}"));
        assertThat(ExplanationFormat.TEXT.render("a", entries))
                .contains("-100 ms  gateway.log  fleet: control answers again")
                .contains("*      +0 ms  gateway.log  lost {reason=<b> & reset}");
        assertThat(ExplanationFormat.JSON.render("a", entries)).contains("\"offsetMillis\" : -100", "\"own\" : true");
        assertThat(ExplanationFormat.HTML.render("a", entries))
                .contains("<title>Request a</title>", "class=\"own\"", "lost {reason=&lt;b&gt; &amp; reset}")
                .doesNotContain("<b>", "src=", "href=");
    }
}
