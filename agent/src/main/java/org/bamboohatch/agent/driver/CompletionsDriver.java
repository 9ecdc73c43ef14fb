package org.bamboohatch.agent.driver;

import java.io.IOException;
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

/** Speaks with model engines through the common completions protocol. */
public final class CompletionsDriver implements TargetDriver {

    /** Marks the end of a stream of events. */
    private static final String DONE = "[DONE]";

    /** Reason with which an engine ends a cancelled answer. */
    private static final String CANCELLED = "cancelled";

    /** Used by the service loader. */
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

        /** The HTTP calls. */
        private final HttpCalls calls;

        /**
         * Creates a target.
         *
         * @param calls the HTTP calls
         */
        ForEngine(HttpCalls calls) {
            this.calls = calls;
        }

        @Override
        public void run(Dispatch dispatch, RunListener listener) {
            Answer answer = new Answer(listener);
            ServerSentEventParser parser = new ServerSentEventParser(answer::take);
            calls.request(dispatch)
                    .onResponseContent((response, part) -> parser.parse(part))
                    .send(result -> {
                        int status = result.getResponse() == null
                                ? 0
                                : result.getResponse().getStatus();
                        if (result.isFailed()) {
                            listener.onFailure(
                                    HttpCalls.mayHaveStarted(result),
                                    "engine connection failed: "
                                            + result.getFailure().getMessage());
                        } else if (status != 200 || !answer.isWhole()) {
                            listener.onFailure(true, "engine ended the answer early with status " + status);
                        } else {
                            listener.onEnd(status, "text/event-stream", answer.finishReason);
                        }
                    });
        }

        @Override
        public void cancel(String id) {
            calls.post("/cancel/" + id).exceptionally(unreachable -> null);
        }

        @Override
        public CompletableFuture<TargetState> state() {
            return calls.get("/load").thenCombine(calls.get("/streams"), ForEngine::state);
        }

        /**
         * Reads the state of an engine.
         *
         * @param load the load
         * @param streams the running streams
         * @return the state
         */
        private static TargetState state(JsonNode load, JsonNode streams) {
            List<LoadedModel> models = new ArrayList<>();
            for (JsonNode model : load.path("models")) {
                String[] parts = model.asText().split("@", 2);
                models.add(new LoadedModel(new ModelName(parts[0]), parts.length > 1 ? parts[1] : ""));
            }
            List<String> ids = new ArrayList<>();
            streams.path("ids").forEach(id -> ids.add(id.asText()));
            return new TargetState(models, load.path("millis_per_prompt_token").asDouble(), ids);
        }

        @Override
        public CompletableFuture<Void> order(PlacementOrder order, long fence) {
            String model = order.model().name() + "@" + order.model().version();
            return calls.order("/orders", Map.of("action", order.action().name(), "model", model, "fence", fence))
                    .thenApply(done -> null);
        }
    }

    /** Reads the events of one answer. */
    private static final class Answer {

        /** Hears the answer. */
        private final RunListener listener;

        /** Why the engine ended the answer. */
        private String finishReason = "";

        /** Whether the end of the stream was seen. */
        private boolean done;

        /**
         * Creates an answer.
         *
         * @param listener hears the answer
         */
        Answer(RunListener listener) {
            this.listener = listener;
        }

        /**
         * Takes an event.
         *
         * @param data its data
         */
        void take(String data) {
            if (data.equals(DONE)) {
                done = true;
                return;
            }
            try {
                JsonNode choice =
                        HttpCalls.MAPPER.readTree(data).path("choices").path(0);
                String text = choice.path("text").asText("");
                if (!text.isEmpty()) {
                    listener.onData(text.getBytes(StandardCharsets.UTF_8), 1);
                }
                if (choice.path("finish_reason").isTextual()) {
                    finishReason = choice.path("finish_reason").asText();
                }
            } catch (IOException malformed) {
                finishReason = "";
            }
        }

        /**
         * Tells whether the answer is whole.
         *
         * @return whether the engine ended it by itself
         */
        boolean isWhole() {
            return done && !finishReason.isEmpty() && !finishReason.equals(CANCELLED);
        }
    }
}
