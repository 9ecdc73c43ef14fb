package org.bamboohatch.agent.driver;

import java.util.List;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;

import org.bamboohatch.agent.driver.ScriptedTarget.End;
import org.eclipse.jetty.client.HttpClient;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

/** Answers of engines: each reaches the caller whole, or the run has failed. */
@Timeout(60)
class EngineAnswerTest {

    private static final String HEAD = "HTTP/1.1 200 OK\r\n\r\n";

    private static final String DONE = "data: [DONE]\n\n";

    private final HttpClient client = new TargetHttpClient();

    @BeforeEach
    void start() throws Exception {
        client.start();
    }

    @AfterEach
    void stop() throws Exception {
        client.stop();
    }

    /** Returns an event with a text, and with a finish reason unless that is empty. */
    private static String event(String text, String reason) {
        String finish = reason.isEmpty() ? "null" : "\"" + reason + "\"";
        return "data: {\"choices\":[{\"text\":\"" + text + "\",\"finish_reason\":" + finish + "}]}\n\n";
    }

    private String run(String stream, End end) throws Exception {
        RecordedRun run = new RecordedRun();
        try (ScriptedTarget target = ScriptedTarget.answering(HEAD + stream, end)) {
            new CompletionsDriver().connect(client, target.url()).run(RecordedRun.dispatch(), run);
            return run.awaitEnd();
        }
    }

    /** Guards against an answer that lacks the text of an event which could not be read. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "{\"choices\":[{\"te",
                "{\"choices\":[{\"text\":\"b\"}]}{\"choices\":[{\"text\":\"c\"}]}",
                "{\"error\":{\"message\":\"broken\"}}",
                "bead",
                ""
            })
    void anAnswerWithAnEventThatIsNoneFails(String data) throws Exception {
        String stream = event("a", "") + "data: " + data + "\n\n" + event("", "stop") + DONE;
        assertThat(run(stream, End.CLOSE)).startsWith("failed ");
    }

    /** Guards against characters that are replaced because they are malformed, or divided between two events. */
    @Test
    void noCharacterOfAnAnswerIsReplaced() throws Exception {
        assertThat(run(event("\\ud83d", "") + event("\\ude00", "stop") + DONE, End.CLOSE))
                .isEqualTo("200 text/event-stream \ud83d\ude00");
        for (String malformed : List.of("\\ud83d", "\\ude00", "\u00c3", "\u00c3(")) {
            assertThat(run(event(malformed, "stop") + DONE, End.CLOSE)).isEqualTo("failed ");
        }
    }

    /** Guards against text of another answer that is added to one which has ended. */
    @Test
    void whatFollowsTheEndOfAnAnswerIsNoOutput() throws Exception {
        String second = HEAD + event("b", "stop") + DONE;
        assertThat(run(event("a", "stop") + DONE + second, End.CLOSE)).isEqualTo("200 text/event-stream a");
        assertThat(run(event("a", "stop") + second, End.CLOSE)).isEqualTo("failed a");
    }

    /** Guards against a stream that stops between two events and is complete with its connection. */
    @ParameterizedTest
    @EnumSource(End.class)
    void aStreamThatStopsBetweenEventsFails(End end) throws Exception {
        assertThat(run(event("a", ""), end)).startsWith("failed ");
        assertThat(run(event("a", "stop"), end)).startsWith("failed ");
        assertThat(run(event("a", "stop") + "data: [DO", end)).startsWith("failed ");
        assertThat(run(event("a", "cancelled") + DONE, end)).startsWith("failed ");
    }

    /** Guards against an engine without models or streams because a response to a health check was cut or another one. */
    @ParameterizedTest
    @CsvSource({
        "'', '{\"ids\":[]}'",
        "'{\"models\":[]}', ''",
        "'{\"ids\":[]}', '{\"models\":[]}'",
        "'{\"models\":[', '{}'"
    })
    void aHealthCheckWithoutItsContentFails(String load, String streams) throws Exception {
        Function<String, String> script = head -> HEAD + (head.startsWith("GET /load ") ? load : streams);
        try (ScriptedTarget target = new ScriptedTarget(script, End.CLOSE)) {
            var state = new CompletionsDriver().connect(client, target.url()).state();
            assertThatThrownBy(() -> state.get(10, TimeUnit.SECONDS)).isInstanceOf(ExecutionException.class);
        }
    }

    private void runWithoutEnd(String begin, String part) throws Exception {
        RecordedRun run = new RecordedRun();
        try (ScriptedTarget target = ScriptedTarget.endless(HEAD + begin, part)) {
            new CompletionsDriver().connect(client, target.url()).run(RecordedRun.dispatch(), run);
            assertThat(run.awaitEnd()).startsWith("failed ");
            assertThat(target.sentBytes()).isLessThan(64 * 1024 * 1024);
        }
    }

    /** Guards against an event without end that is kept until the agent runs out of memory. */
    @Test
    void anEventWithoutEndFails() throws Exception {
        runWithoutEnd("data: ", "x".repeat(65_536));
    }

    /** Guards against events without end, of which each is kept for a resumption. */
    @Test
    void moreOutputThanWasRequestedFails() throws Exception {
        runWithoutEnd("", event("a", "").repeat(1_000));
    }
}
