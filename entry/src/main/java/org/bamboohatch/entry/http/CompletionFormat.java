package org.bamboohatch.entry.http;

import java.util.List;
import java.util.Map;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.bamboohatch.http.JsonResponse;

/** The JSON formats of completion requests and responses. */
enum CompletionFormat {
    /** Text completions: the request holds a prompt, the response its continuation. */
    TEXT("text_completion", "text_completion") {
        @Override
        String prompt(JsonNode request) {
            JsonNode prompt = request.path("prompt");
            return prompt.isTextual() ? prompt.asText() : "";
        }

        @Override
        void putChunkText(ObjectNode choice, String text) {
            choice.put("text", text);
        }

        @Override
        void putCompleteText(ObjectNode choice, String text) {
            choice.put("text", text);
        }
    },
    /** Chat completions: the request holds the messages of a conversation, the response the next message. */
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
        void putChunkText(ObjectNode choice, String text) {
            choice.putObject("delta").put("content", text);
        }

        @Override
        void putCompleteText(ObjectNode choice, String text) {
            choice.putObject("message").put("role", "assistant").put("content", text);
        }
    };

    /** Value of the field {@code object} in an event of a streamed response. */
    private final String chunkObjectType;

    /** Value of the field {@code object} in a response that is not streamed. */
    private final String responseObjectType;

    CompletionFormat(String chunkObjectType, String responseObjectType) {
        this.chunkObjectType = chunkObjectType;
        this.responseObjectType = responseObjectType;
    }

    /**
     * Extracts the prompt from a request.
     *
     * @param request JSON object of the request
     * @return the prompt, empty if the request contains none
     */
    abstract String prompt(JsonNode request);

    abstract void putChunkText(ObjectNode choice, String text);

    abstract void putCompleteText(ObjectNode choice, String text);

    /**
     * Renders an event of a streamed response.
     *
     * @param id identifier of the request
     * @param model name of the model
     * @param text output text of the chunk
     * @param finishReason why generation stopped, or {@code null} if more chunks follow
     * @return the JSON text
     */
    String chunkJson(String id, String model, String text, String finishReason) {
        ObjectNode event = object(id, model, chunkObjectType);
        ObjectNode choice = event.putArray("choices").addObject().put("index", 0);
        putChunkText(choice, text);
        choice.put("finish_reason", finishReason);
        return event.toString();
    }

    /**
     * Creates a response that is not streamed.
     *
     * @param id identifier of the request
     * @param model name of the model
     * @param text the complete output text
     * @param finishReason why generation stopped
     * @param usage number of prompt tokens, followed by the number of output tokens
     * @return the JSON object
     */
    ObjectNode completeResponse(String id, String model, String text, String finishReason, List<Long> usage) {
        ObjectNode response = object(id, model, responseObjectType);
        ObjectNode choice = response.putArray("choices").addObject().put("index", 0);
        putCompleteText(choice, text);
        choice.put("finish_reason", finishReason);
        response.set(
                "usage",
                JsonResponse.MAPPER.valueToTree(Map.of(
                        "prompt_tokens", usage.get(0),
                        "completion_tokens", usage.get(1),
                        "total_tokens", usage.get(0) + usage.get(1))));
        return response;
    }

    private static ObjectNode object(String id, String model, String type) {
        return JsonResponse.MAPPER
                .createObjectNode()
                .put("id", id)
                .put("object", type)
                .put("model", model);
    }
}
