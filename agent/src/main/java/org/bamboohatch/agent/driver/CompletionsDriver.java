package org.bamboohatch.agent.driver;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.CharBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;

import com.fasterxml.jackson.databind.JsonNode;
import org.bamboohatch.kernel.id.ModelName;
import org.bamboohatch.kernel.stream.ServerSentEventParser;
import org.bamboohatch.protocol.message.AgentRequest.Dispatch;
import org.bamboohatch.protocol.message.ControlReply.PlacementOrder;
import org.bamboohatch.protocol.message.LoadedModel;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.http.HttpStatus;

/** Driver for model engines that serve the common completions API. */
public final class CompletionsDriver implements TargetDriver {

    /** Data of the event that ends a stream. */
    private static final String DONE = "[DONE]";

    /** Finish reason of a cancelled answer. */
    private static final String CANCELLED = "cancelled";

    /** Creates a driver; invoked by the service loader. */
    public CompletionsDriver() {}

    @Override
    public String name() {
        return "completions";
    }

    @Override
    public Target connect(HttpClient client, String targetUrl) {
        return new ForEngine(new HttpCalls(client, targetUrl));
    }

    /** A model engine. */
    private static final class ForEngine implements Target {

        private final HttpCalls calls;

        ForEngine(HttpCalls calls) {
            this.calls = calls;
        }

        @Override
        public void run(Dispatch dispatch, RunListener listener) {
            AnswerReader reader = new AnswerReader(listener, dispatch.outputTokens());
            ServerSentEventParser parser = new ServerSentEventParser(reader::onEvent);
            calls.newRequest(dispatch)
                    .onResponseContent((response, buffer) -> {
                        if (response.getStatus() == HttpStatus.OK_200) {
                            parser.parse(buffer);
                        }
                    })
                    .send(result -> {
                        int status = result.getResponse() == null
                                ? 0
                                : result.getResponse().getStatus();
                        if (result.isFailed()) {
                            listener.onFailure(
                                    HttpCalls.mayHaveStarted(result),
                                    "engine connection failed: "
                                            + result.getFailure().getMessage());
                        } else if (status != HttpStatus.OK_200 || !reader.isComplete()) {
                            listener.onFailure(true, "engine ended the answer early with status " + status);
                        } else {
                            listener.onEnd(status, "text/event-stream", reader.finishReason);
                        }
                    });
        }

        @Override
        public void cancel(String id) {
            calls.post("/cancel/" + id).exceptionally(failure -> null);
        }

        @Override
        public CompletableFuture<TargetState> state() {
            return calls.get("/load").thenCombine(calls.get("/streams"), ForEngine::state);
        }

        /**
         * Reads the state of an engine from its responses.
         *
         * @param load response with the loaded models, each as {@code name@version}, and the prefill time
         * @param streams response with the identifiers of the running streams
         * @return the state of the engine
         * @throws IllegalStateException if one of them is not such a response
         */
        private static TargetState state(JsonNode load, JsonNode streams) {
            List<LoadedModel> models = new ArrayList<>();
            for (JsonNode model : array(load, "models")) {
                String[] parts = model.asText().split("@", 2);
                models.add(new LoadedModel(new ModelName(parts[0]), parts.length > 1 ? parts[1] : ""));
            }
            List<String> ids = new ArrayList<>();
            array(streams, "ids").forEach(id -> ids.add(id.asText()));
            return new TargetState(models, load.path("millis_per_prompt_token").asDouble(), ids);
        }

        private static JsonNode array(JsonNode response, String name) {
            JsonNode array = response.path(name);
            if (!array.isArray()) {
                throw new IllegalStateException("response without " + name);
            }
            return array;
        }

        @Override
        public CompletableFuture<Void> executeOrder(PlacementOrder order, long fence) {
            String model = order.model().name() + "@" + order.model().version();
            return calls.postOrder("/orders", Map.of("action", order.action().name(), "model", model, "fence", fence))
                    .thenApply(done -> null);
        }
    }

    /** Reads the events of an answer and forwards its text. */
    private static final class AnswerReader {

        private final RunListener listener;

        /** Finish reason of the engine, or an empty string if none was received. */
        private String finishReason = "";

        /** Whether the event that ends the stream was received. */
        private boolean done;

        /** Text that was received and not forwarded, with the number of its tokens. */
        private String heldText = "";

        private int heldTokens;

        /** Number of output tokens that the engine may still send. */
        private long remainingTokens;

        AnswerReader(RunListener listener, long maximumTokens) {
            this.listener = listener;
            this.remainingTokens = maximumTokens;
        }

        /**
         * Reads an event and forwards its text, which counts as a single output token. Whatever follows the event that ends
         * the stream is ignored.
         *
         * @param data data of the event
         * @throws IOException if it is no event of an answer, so that text of the answer may be missing
         */
        void onEvent(String data) throws IOException {
            if (done) {
                return;
            }
            if (data.equals(DONE)) {
                done = true;
                return;
            }
            JsonNode event = HttpCalls.MAPPER.readTree(data);
            if (!event.isObject() || event.hasNonNull("error")) {
                throw new IOException("not an event of an answer");
            }
            JsonNode choice = event.path("choices").path(0);
            String text = choice.path("text").asText("");
            if (!text.isEmpty()) {
                if (!finishReason.isEmpty()) {
                    throw new IOException("text after the finish reason");
                }
                deliver(text);
            }
            if (choice.path("finish_reason").isTextual()) {
                finishReason = choice.path("finish_reason").asText();
            }
        }

        /**
         * Forwards the text of an output token. The first half of a character whose second half is in the next event is
         * forwarded together with that.
         *
         * @param text the text, not empty
         * @throws IOException if the answer is too long, or the text holds half a character
         */
        private void deliver(String text) throws IOException {
            if (remainingTokens == 0) {
                throw new IOException("more output than was requested");
            }
            remainingTokens--;
            heldTokens++;
            String received = heldText + text;
            if (Character.isHighSurrogate(received.charAt(received.length() - 1))) {
                heldText = received;
                return;
            }
            ByteBuffer encoded = StandardCharsets.UTF_8.newEncoder().encode(CharBuffer.wrap(received));
            byte[] bytes = new byte[encoded.remaining()];
            encoded.get(bytes);
            listener.onData(bytes, heldTokens);
            heldText = "";
            heldTokens = 0;
        }

        /**
         * Indicates whether the answer is complete.
         *
         * @return {@code true} if the engine ended the stream with a finish reason and was not cancelled, and all text is
         *     forwarded
         */
        boolean isComplete() {
            return done && heldTokens == 0 && !finishReason.isEmpty() && !finishReason.equals(CANCELLED);
        }
    }
}
