package org.bamboohatch.agent.driver;

import java.util.concurrent.TimeUnit;

import org.bamboohatch.kernel.id.AttemptId;
import org.bamboohatch.kernel.id.ModelName;
import org.bamboohatch.kernel.id.RequestId;
import org.bamboohatch.kernel.id.ServiceName;
import org.bamboohatch.protocol.message.AgentRequest.Dispatch;
import org.bamboohatch.protocol.message.TargetCall;
import org.eclipse.jetty.client.HttpClient;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.RepeatedTest;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against a part of a response that reaches the caller as the whole because the write of the request, not a read, met
 * the reset, and against a response without a valid status.
 */
@Timeout(60)
class ResponseDuringUploadTest {

    private static final int BODY_BYTES = 16 * 1024 * 1024;

    private final HttpClient client = new TargetHttpClient(32L * 1024 * 1024);

    @BeforeEach
    void start() throws Exception {
        client.start();
    }

    @AfterEach
    void stop() throws Exception {
        client.stop();
    }

    private static Dispatch upload() {
        return new Dispatch(
                new RequestId("r"),
                new AttemptId("a"),
                new ServiceName("s"),
                new ModelName("m"),
                0,
                8_000,
                0,
                1,
                2,
                0,
                null,
                new TargetCall("POST", "/x", "text/plain", new byte[BODY_BYTES]));
    }

    private String run(Dispatch dispatch, ScriptedTarget target) throws Exception {
        RecordedRun run = new RecordedRun();
        new PlainDriver().connect(client, target.url()).run(dispatch, run);
        return run.awaitEnd();
    }

    @RepeatedTest(5)
    void aResponseWithoutALengthIsLostIfItsConnectionIsResetWhileTheRequestIsWritten() throws Exception {
        try (ScriptedTarget target = new ScriptedTarget(
                head -> {
                    // The upload fills the buffers of the connection meanwhile.
                    sleep(100);
                    return "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n\r\nhalf";
                },
                ScriptedTarget.End.RESET)) {
            assertThat(run(upload(), target)).startsWith("failed ");
        }
    }

    @ParameterizedTest
    @ValueSource(strings = {"000", "099", "0200", "20"})
    void aResponseWithoutAValidStatusIsLost(String status) throws Exception {
        String response =
                "HTTP/1.1 " + status + " Trouble\r\nContent-Type: text/plain\r\nContent-Length: 4\r\n\r\nfull";
        try (ScriptedTarget target = ScriptedTarget.answering(response, ScriptedTarget.End.CLOSE)) {
            assertThat(run(RecordedRun.dispatch(), target)).startsWith("failed ");
        }
    }

    private static void sleep(long millis) {
        try {
            TimeUnit.MILLISECONDS.sleep(millis);
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
    }
}
