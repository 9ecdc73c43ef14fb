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
    void theStoryHoldsTheRequestsDecisionsAndWhatItsProcessBelieved() throws IOException {
        List<Explain.Line> lines = new ArrayList<>();
        Explain.read("gateway.log", new BufferedReader(new StringReader(GATEWAY)), lines);
        Explain.read("other.log", new BufferedReader(new StringReader(OTHER)), lines);
        assertThat(Explain.story(lines, "a"))
                .extracting(Explain.Line::words)
                .containsExactly("fleet: control answers again", "placed {target=i-1}", "lost {reason=reset}");
        assertThat(Explain.story(lines, "unknown")).isEmpty();
    }
}
