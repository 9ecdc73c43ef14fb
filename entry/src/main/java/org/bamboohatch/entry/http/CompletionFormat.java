package org.bamboohatch.entry.http;

import java.util.List;
import java.util.Map;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.bamboohatch.http.JsonResponse;

/** The two forms in which callers ask for completions. */
enum CompletionFormat {
    /** A prompt and its continuation. */
    TEXT("text_completion", "text_completion") {
        @Override
        String prompt(JsonNode request) {
            JsonNode prompt = request.path("prompt");
            return prompt.isTextual() ? prompt.asText() : "";
        }

        @Override
        void putPart(ObjectNode choice, String text) {
            choice.put("text", text);
        }

        @Override
        void putWhole(ObjectNode choice, String text) {
            choice.put("text", text);
        }
    },
    /** Messages and the answer to them. */
    CHAT("chat.completion.chunk", "chat.completion") {
        @Override
        String prompt(JsonNode request) {
            StringBuilder prompt = new StringBuilder();
            for (JsonNode message : request.path("messages")) {
                prompt.append(message.path("role").asText())
                        .append(": ")
                        .append(message.path("content").asText())
                        .append('\n');
            }
            return prompt.toString();
        }

        @Override
        void putPart(ObjectNode choice, String text) {
            choice.putObject("delta").put("content", text);
        }

        @Override
        void putWhole(ObjectNode choice, String text) {
            choice.putObject("message").put("role", "assistant").put("content", text);
        }
    };

    /** Type of the object in an event. */
    private final String eventType;

    /** Type of the object in a whole answer. */
    private final String wholeType;

    /**
     * Creates a form.
     *
     * @param eventType type of the object in an event
     * @param wholeType type of the object in a whole answer
     */
    CompletionFormat(String eventType, String wholeType) {
        this.eventType = eventType;
        this.wholeType = wholeType;
    }

    /**
     * Reads the prompt of a request.
     *
     * @param request the request
     * @return the prompt, empty if there is none
     */
    abstract String prompt(JsonNode request);

    /**
     * Puts a part of the answer into an event.
     *
     * @param choice the choice of the event
     * @param text the part
     */
    abstract void putPart(ObjectNode choice, String text);

    /**
     * Puts the whole answer.
     *
     * @param choice the choice
     * @param text the answer
     */
    abstract void putWhole(ObjectNode choice, String text);

    /**
     * Renders an event.
     *
     * @param id identifier of the request
     * @param model the model
     * @param text a part of the answer
     * @param finishReason why the answer ended, or null
     * @return the JSON text
     */
    String event(String id, String model, String text, String finishReason) {
        ObjectNode event = object(id, model, eventType);
        ObjectNode choice = event.putArray("choices").addObject().put("index", 0);
        putPart(choice, text);
        choice.put("finish_reason", finishReason);
        return event.toString();
    }

    /**
     * Makes a whole answer.
     *
     * @param id identifier of the request
     * @param model the model
     * @param text the answer
     * @param finishReason why the answer ended
     * @param usage tokens of the prompt and of the answer
     * @return the JSON tree
     */
    ObjectNode whole(String id, String model, String text, String finishReason, List<Long> usage) {
        ObjectNode answer = object(id, model, wholeType);
        ObjectNode choice = answer.putArray("choices").addObject().put("index", 0);
        putWhole(choice, text);
        choice.put("finish_reason", finishReason);
        answer.set(
                "usage",
                JsonResponse.MAPPER.valueToTree(Map.of(
                        "prompt_tokens", usage.get(0),
                        "completion_tokens", usage.get(1),
                        "total_tokens", usage.get(0) + usage.get(1))));
        return answer;
    }

    /**
     * Begins an object.
     *
     * @param id identifier of the request
     * @param model the model
     * @param type type of the object
     * @return the object
     */
    private static ObjectNode object(String id, String model, String type) {
        return JsonResponse.MAPPER
                .createObjectNode()
                .put("id", id)
                .put("object", type)
                .put("model", model);
    }
}
