package org.bamboohatch.agent.driver;

import java.util.concurrent.TimeUnit;

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

/** Responses of plain services: each reaches the caller whole, or the run has failed. */
@Timeout(60)
class PlainResponseTest {

    private static final long MEBIBYTE = 1024 * 1024;

    /** Driver for which no connection settles while a test lasts, so that a slow machine changes no result. */
    private static final PlainDriver NEVER_SETTLED = new PlainDriver(TimeUnit.MINUTES.toMillis(2));

    private final HttpClient client = new TargetHttpClient(32 * MEBIBYTE);

    @BeforeEach
    void start() throws Exception {
        client.start();
    }

    @AfterEach
    void stop() throws Exception {
        client.stop();
    }

    private String run(String response, End end) throws Exception {
        return run(new PlainDriver(), response, end);
    }

    private String run(PlainDriver driver, String response, End end) throws Exception {
        RecordedRun run = new RecordedRun();
        try (ScriptedTarget target = ScriptedTarget.answering(response.replace("|", "\r\n"), end)) {
            driver.connect(client, target.url()).run(RecordedRun.dispatch(), run);
            return run.awaitEnd();
        }
    }

    /** Guards against a head that stops in its middle and ends as a response without a body. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "HTTP/1.",
                "HTTP/1.1 20",
                "HTTP/1.1 200",
                "HTTP/1.1 200 OK",
                "HTTP/1.1 200 OK|",
                "HTTP/1.1 200 OK|Content-Ty",
                "HTTP/1.1 200 OK|Content-Length: 0",
                "HTTP/1.1 200 OK|Content-Length: 0|",
                "HTTP/1.1 103 Early Hints||",
                "HTTP/1.1 100 Continue||HTTP/1.1 200 OK|Content-Length: 0|"
            })
    void aHeadThatStopsInItsMiddleIsNoResponse(String response) throws Exception {
        for (End end : End.values()) {
            assertThat(run(response, end)).as(end.name()).isEqualTo("failed ");
        }
    }

    /** Guards against a part of a body that ends as the whole. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "HTTP/1.1 200 OK|Content-Length: 8||half",
                "HTTP/1.1 200 OK|Content-Length: 4|Content-Length: 8||halfmore",
                "HTTP/1.1 200 OK|Content-Length:||half",
                "HTTP/1.1 200 OK|Transfer-Encoding: chunked||4|half|",
                "HTTP/1.1 200 OK|Transfer-Encoding: chunked||8|half",
                "HTTP/1.1 200 OK|Transfer-Encoding: chunked||4|half|0|Trail",
                "HTTP/1.1 200 OK|Transfer-Encoding: chunked|Content-Length: 2||4|half|0||"
            })
    void aBodyThatStopsInItsMiddleIsNoResponse(String response) throws Exception {
        for (End end : End.values()) {
            assertThat(run(response, end)).as(end.name()).isEqualTo("failed ");
        }
    }

    @ParameterizedTest
    @EnumSource(End.class)
    void aWholeBodyIsDeliveredHoweverItsConnectionEnds(End end) throws Exception {
        assertThat(run("HTTP/1.1 200 OK|Content-Type: text/plain|Content-Length: 4||wholemore", end))
                .isEqualTo("200 text/plain whol");
        assertThat(run("HTTP/1.1 200 OK|Content-Type: text/plain|Transfer-Encoding: chunked||5|whole|0|A: b||", end))
                .isEqualTo("200 text/plain whole");
        assertThat(run("HTTP/1.1 103 Early Hints|A: b||HTTP/1.1 200 OK|Content-Length: 5||whole", end))
                .isEqualTo("200 application/octet-stream whole");
    }

    /** Guards against the reset of a connection that completes a response which ends with its connection. */
    @ParameterizedTest
    @CsvSource({"CLOSE, 200 text/plain half", "RESET, 'failed '"})
    void aResetIsNotTheEndOfAResponse(End end, String seen) throws Exception {
        assertThat(run("HTTP/1.1 200 OK|Content-Type: text/plain||half", end)).isEqualTo(seen);
    }

    /** Guards against a part of a response that is taken for the whole because its process has ended. */
    @ParameterizedTest
    @ValueSource(
            strings = {"HTTP/1.1 200 OK||", "HTTP/1.1 200 OK||half", "HTTP/1.0 200 OK|Content-Type: text/plain||half"})
    void theEndOfTheProcessIsNotTheEndOfAResponse(String response) throws Exception {
        assertThat(run(response, End.CRASH)).isEqualTo("failed ");
    }

    /** Guards against a part that is taken for the whole because its process, while it ends, accepts another connection. */
    @Test
    void aConnectionThatDoesNotSettleIsNoSignOfAService() throws Exception {
        assertThat(run(NEVER_SETTLED, "HTTP/1.1 200 OK|Content-Type: text/plain||half", End.LATE_CRASH))
                .isEqualTo("failed ");
    }

    /** Guards against a whole response that is lost because its service resets connections beyond its limit. */
    @Test
    void aServiceAtItsLimitOfConnectionsHasNotEnded() throws Exception {
        assertThat(run(NEVER_SETTLED, "HTTP/1.1 200 OK|Content-Type: text/plain||whole", End.LIMIT))
                .isEqualTo("200 text/plain whole");
    }

    /** Guards against a coded body that is delivered without the name of its coding. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "HTTP/1.1 200 OK|Content-Encoding: br|Content-Length: 4||half",
                "HTTP/1.1 200 OK|Content-Encoding: gzip|Content-Length: 4||half",
                "HTTP/1.1 200 OK|Transfer-Encoding: gzip, chunked||4|half|0||",
                "HTTP/1.1 200 OK|Transfer-Encoding: gzip||half"
            })
    void aCodedBodyIsNoResponse(String response) throws Exception {
        assertThat(run(response, End.CLOSE)).isEqualTo("failed ");
    }

    @Test
    void aServiceIsAskedForNoCoding() throws Exception {
        try (ScriptedTarget target = ScriptedTarget.echoing()) {
            RecordedRun run = new RecordedRun();
            new PlainDriver().connect(client, target.url()).run(RecordedRun.dispatch(), run);
            assertThat(run.awaitEnd()).startsWith("200 ").doesNotContainIgnoringCase("Accept-Encoding");
        }
    }

    /** Guards against the body of another response that is delivered under the status of one that was cut in its head. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "HTTP/1.1 200 OKHTTP/1.1 503 Full|Content-Length: 4||full",
                "HTTP/1.1 200 HTTP/1.1 503 Full|Content-Length: 4||full",
                "HTTP/1.1 200HTTP/1.1 503 Full|Content-Length: 4||full",
                "HTTP/1.1 200 OK|Content-Type: text/plHTTP/1.1 503 Full|Content-Length: 4||full",
                "HTTP/1.1 200 OK|Content-TypeHTTP/1.1 503 Full|Content-Length: 4||full",
                "HTTP/1.1 200 OK|Content-Type: text/plain|HTTP/1.1 503 Full|Content-Length: 4||full"
            })
    void aHeadWithinAHeadIsNoResponse(String response) throws Exception {
        assertThat(run(response, End.CLOSE)).isEqualTo("failed ");
    }

    /** Guards against an interim response that is delivered as the final one, and against a run that never ends. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "HTTP/1.1 101 Switching Protocols|Upgrade: x|Connection: Upgrade||",
                "HTTP/1.1 199 Odd||HTTP/1.1 200 OK|Content-Length: 4||half"
            })
    void anInterimResponseIsNoResponse(String response) throws Exception {
        assertThat(run(response, End.CLOSE)).isEqualTo("failed ");
    }

    @Test
    void aServiceIsHealthyWithAnEmptyBody() throws Exception {
        try (ScriptedTarget target =
                ScriptedTarget.answering("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", End.CLOSE)) {
            var state = new PlainDriver().connect(client, target.url()).state();
            assertThat(state.get(10, TimeUnit.SECONDS).streams()).isEmpty();
        }
    }

    /** Guards against text that a caller decodes with another character set than its service has encoded it with. */
    @Test
    void theMediaTypeKeepsItsParameters() throws Exception {
        String type = "text/plain; charset=iso-8859-1";
        assertThat(run("HTTP/1.1 200 OK|Content-Type: " + type + "|Content-Length: 4||half", End.CLOSE))
                .isEqualTo("200 " + type + " half");
    }

    private void runWithoutEnd(String begin, String part) throws Exception {
        RecordedRun run = new RecordedRun();
        try (ScriptedTarget target = ScriptedTarget.endless(begin.replace("|", "\r\n"), part)) {
            new PlainDriver().connect(client, target.url()).run(RecordedRun.dispatch(), run);
            assertThat(run.awaitEnd()).isEqualTo("failed ");
            assertThat(target.sentBytes()).isLessThan(64 * MEBIBYTE);
        }
    }

    /** Guards against a head or a body without end that is kept until the agent runs out of memory. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "HTTP/1.1 200 ",
                "HTTP/1.1 200 OK|A: ",
                "HTTP/1.1 200 OK||",
                "HTTP/1.1 200 OK|Transfer-Encoding: chunked||40000000|"
            })
    void aHeadOrBodyWithoutEndFails(String begin) throws Exception {
        runWithoutEnd(begin, "x".repeat(65_536));
    }

    /** Guards against a run that outlasts its timeout because its response never pauses. */
    @ParameterizedTest
    @CsvSource({"HTTP/1.1 200 OK|Transfer-Encoding: chunked||5;, %s", "'', HTTP/1.1 103 Early Hints|A: %s||"})
    void framingWithoutEndFails(String begin, String part) throws Exception {
        runWithoutEnd(begin, part.replace("|", "\r\n").formatted("x".repeat(16_384)));
    }
}
