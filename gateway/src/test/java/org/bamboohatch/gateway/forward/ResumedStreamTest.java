package org.bamboohatch.gateway.forward;

import java.util.concurrent.atomic.AtomicInteger;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;
import static org.bamboohatch.gateway.forward.FakeTarget.chunk;
import static org.bamboohatch.gateway.forward.FakeTarget.streamHead;
import static org.bamboohatch.gateway.forward.FakeTarget.write;
import static org.bamboohatch.gateway.forward.GatewayHarness.request;

/**
 * Guards against a stream that has begun, breaks off and is joined with the response of a target that does not continue it:
 * callers found the text of an error in a response that looked complete and lacked its last events.
 */
@Timeout(30)
class ResumedStreamTest {

    private static final String FIRST_EVENT = "id: 1\ndata: a\n\n";

    private static final String COMPLETE_END = "0\r\n\r\n";

    /** The first target that is asked cuts its stream, the second one sends the given response. */
    private static String resume(String response) throws Exception {
        AtomicInteger requests = new AtomicInteger();
        FakeTarget.Script script = (received, connection) -> {
            if (requests.getAndIncrement() == 0) {
                write(connection, streamHead(received.id(), "first") + chunk(FIRST_EVENT));
                return false;
            }
            assertThat(received.headers()).containsEntry("last-event-id", "1");
            write(connection, response.replace("{id}", received.id()));
            return true;
        };
        try (FakeTarget first = new FakeTarget(script);
                FakeTarget second = new FakeTarget(script);
                GatewayHarness gateway = new GatewayHarness(first, second)) {
            String text = gateway.call(request("POST", "/stream/x", "a1", "", "prompt"));
            assertThat(requests).hasValue(2);
            return text;
        }
    }

    private static String withBody(String status, String type, String body) {
        return "HTTP/1.1 " + status + "\r\nRequest-Id: {id}\r\nAnswer-Seal: second\r\nContent-Type: " + type
                + "\r\nContent-Length: " + body.length() + "\r\n\r\n" + body;
    }

    @Test
    void aStreamIsContinuedByEventsOnly() throws Exception {
        String text = resume(streamHead("{id}", "second") + chunk("id: 2\ndata: b\n\n") + COMPLETE_END);

        assertThat(text).contains("Answer-Seal: first").contains(chunk("id: 2\ndata: b\n\n"));
        assertThat(text).doesNotContain("second").endsWith(COMPLETE_END);
    }

    /** The target that was cut may have sent all events. */
    @Test
    void aStreamWithoutFurtherEventsIsComplete() throws Exception {
        String text = resume(streamHead("{id}", "second") + COMPLETE_END);

        assertThat(text).contains(FIRST_EVENT).endsWith(COMPLETE_END);
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "500 Internal Server Error",
                "503 Unavailable",
                "504 Timeout",
                "404 Not Found",
                "409 Conflict",
                "302 Found",
                "200 OK",
                "206 Partial Content"
            })
    void aResponseOfAnotherKindIsNotJoinedToTheStream(String status) throws Exception {
        String text = resume(withBody(status, "text/plain", "out of luck"));

        assertThat(text).contains("Answer-Seal: first").contains(FIRST_EVENT);
        assertThat(text).doesNotContain("out of luck").doesNotContain("second").doesNotEndWith(COMPLETE_END);
    }

    @Test
    void anErrorThatIsSentAsEventsIsNotJoinedToTheStream() throws Exception {
        String text = resume(withBody("500 Internal Server Error", "text/event-stream", "id: 2\ndata: x\n\n"));

        assertThat(text).doesNotContain("data: x").doesNotEndWith(COMPLETE_END);
    }

    /** The whole response of a target that does not resume the stream would repeat events. */
    @Test
    void aStreamThatBeginsAgainIsNotJoined() throws Exception {
        String again = FIRST_EVENT + "id: 2\ndata: b\n\n";
        String text = resume(streamHead("{id}", "second") + chunk(again) + COMPLETE_END);

        assertThat(text).containsOnlyOnce("id: 1").doesNotContain("id: 2").doesNotEndWith(COMPLETE_END);
    }

    /** A target that answers twice on one connection; the first response has no length, or is cut. */
    @ParameterizedTest
    @ValueSource(strings = {"\r\n%s", "Content-Length: 95\r\n\r\n%s", "Content-Length: 95\r\n\r\n%sid: 3\ndata: "})
    void theSecondResponseOfATargetIsNotPartOfTheStream(String framing) throws Exception {
        String next = "id: 2\ndata: b\n\n";
        String head =
                "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nAnswer-Seal: second\r\nContent-Type: text/event-stream\r\n";
        String text = resume(head + String.format(framing, next) + head + "\r\n" + next);

        assertThat(text).contains(FIRST_EVENT).contains(next);
        assertThat(text).doesNotContain("Answer-Seal: second");
        assertThat(text).doesNotEndWith(COMPLETE_END);
    }

    @Test
    void aStreamThatEndsWithinAnEventIsNotComplete() throws Exception {
        String text = resume(streamHead("{id}", "second") + chunk("id: 2\ndata: b") + COMPLETE_END);

        assertThat(text).contains(FIRST_EVENT).doesNotContain("id: 2").doesNotEndWith(COMPLETE_END);
    }
}
