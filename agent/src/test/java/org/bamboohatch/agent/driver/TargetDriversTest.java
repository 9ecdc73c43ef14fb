package org.bamboohatch.agent.driver;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.IntFunction;

import org.bamboohatch.kernel.id.AttemptId;
import org.bamboohatch.kernel.id.ModelName;
import org.bamboohatch.kernel.id.RequestId;
import org.bamboohatch.kernel.id.ServiceName;
import org.bamboohatch.protocol.message.AgentRequest.Dispatch;
import org.bamboohatch.protocol.message.TargetCall;
import org.eclipse.jetty.client.HttpClient;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

import static org.assertj.core.api.Assertions.assertThat;

/** Responses of a target that must not reach the caller of a run. */
@Timeout(30)
class TargetDriversTest {

    private static final String EVENT = "data: {\"choices\":[{\"text\":\"bead\",\"finish_reason\":\"stop\"}]}\n\n";

    private final HttpClient client = new HttpClient();

    @BeforeEach
    void start() throws Exception {
        client.start();
    }

    @AfterEach
    void stop() throws Exception {
        client.stop();
    }

    /** The text and the end of a run. */
    private static final class Run implements RunListener {

        private final StringBuilder text = new StringBuilder();

        private final CompletableFuture<String> end = new CompletableFuture<>();

        @Override
        public void onData(byte[] data, int tokens) {
            text.append(new String(data, StandardCharsets.UTF_8));
        }

        @Override
        public void onEnd(int status, String contentType, String finishReason) {
            end.complete(String.valueOf(status));
        }

        @Override
        public void onFailure(boolean started, String sentence) {
            end.complete("failed");
        }

        String awaitEnd() throws Exception {
            return end.get(10, TimeUnit.SECONDS) + " " + text;
        }
    }

    private static Dispatch dispatch() {
        return new Dispatch(
                new RequestId("r"),
                new AttemptId("a"),
                new ServiceName("s"),
                new ModelName("m"),
                0,
                8_000,
                0,
                1,
                1,
                0,
                null,
                new TargetCall("GET", "/x", "text/plain", new byte[0]));
    }

    private Run run(TargetDriver driver, ServerSocket target) {
        Run run = new Run();
        driver.connect(client, "http://127.0.0.1:" + target.getLocalPort()).run(dispatch(), run);
        return run;
    }

    /** Listens at a free port and writes one text for each request that arrives, by its number on its connection. */
    private static ServerSocket target(IntFunction<String> response) throws IOException {
        ServerSocket listener = new ServerSocket(0, 50, InetAddress.getByName("127.0.0.1"));
        Thread accepting = new Thread(() -> accept(listener, response), "target");
        accepting.setDaemon(true);
        accepting.start();
        return listener;
    }

    private static void accept(ServerSocket listener, IntFunction<String> response) {
        while (!listener.isClosed()) {
            try (Socket connection = listener.accept()) {
                serve(connection, response);
            } catch (IOException ended) {
                // The test or the client has closed it.
            }
        }
    }

    private static void serve(Socket connection, IntFunction<String> response) throws IOException {
        BufferedReader input =
                new BufferedReader(new InputStreamReader(connection.getInputStream(), StandardCharsets.UTF_8));
        int requests = 0;
        for (String line = input.readLine(); line != null; line = input.readLine()) {
            if (line.isEmpty()) {
                connection.getOutputStream().write(response.apply(requests++).getBytes(StandardCharsets.UTF_8));
                connection.getOutputStream().flush();
            }
        }
    }

    private static String response(String status, String body) {
        return "HTTP/1.1 " + status + "\r\nContent-Length: " + body.length() + "\r\n\r\n" + body;
    }

    /** Guards against a run that ends with the response to an earlier one, such as its refusal. */
    @Test
    void anEarlierResponseThatIsWrittenAgainDoesNotAnswerTheNextRun() throws Exception {
        AtomicInteger runs = new AtomicInteger();
        IntFunction<String> repeating = number -> {
            String own = response("200 OK", "run " + runs.incrementAndGet());
            return number == 0 ? own : response("503 Full", "earlier") + own;
        };
        try (ServerSocket target = target(repeating)) {
            for (int number = 1; number <= 3; number++) {
                assertThat(run(new PlainDriver(), target).awaitEnd()).isEqualTo("200 run " + number);
            }
        }
    }

    /** Guards against a run that ends with the late second response to a health check. */
    @Test
    void aHealthCheckThatIsAnsweredAgainDoesNotAnswerTheNextRun() throws Exception {
        AtomicInteger requests = new AtomicInteger();
        String alive = response("200 OK", "{}");
        IntFunction<String> repeating = number -> {
            String own = requests.getAndIncrement() == 0 ? alive : response("200 OK", "run");
            return number == 0 ? own : alive + own;
        };
        try (ServerSocket target = target(repeating)) {
            new PlainDriver()
                    .connect(client, "http://127.0.0.1:" + target.getLocalPort())
                    .state()
                    .get(10, TimeUnit.SECONDS);
            assertThat(run(new PlainDriver(), target).awaitEnd()).isEqualTo("200 run");
        }
    }

    /** Guards against events in the body of an error that are taken for output. */
    @Test
    void anErrorOfAnEngineIsNoOutput() throws Exception {
        try (ServerSocket target = target(number -> response("500 Broken", EVENT + "data: [DONE]\n\n"))) {
            assertThat(run(new CompletionsDriver(), target).awaitEnd()).isEqualTo("failed ");
        }
    }

    @Test
    void theOutputOfAnEngineIsDelivered() throws Exception {
        try (ServerSocket target = target(number -> response("200 OK", EVENT + "data: [DONE]\n\n"))) {
            assertThat(run(new CompletionsDriver(), target).awaitEnd()).isEqualTo("200 bead");
        }
    }
}
