package org.bamboohatch.entry.http;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.bamboohatch.entry.request.CallTemplate;
import org.bamboohatch.http.JsonResponse;
import org.bamboohatch.kernel.id.ModelName;
import org.bamboohatch.kernel.outcome.ErrorCode;
import org.bamboohatch.kernel.outcome.Refusal;
import org.bamboohatch.kernel.outcome.Result;
import org.bamboohatch.protocol.message.TargetCall;

/**
 * A parsed completion.
 *
 * @param model the model
 * @param format the form of the request
 * @param prompt the prompt
 * @param outputTokens the longest answer, in tokens
 * @param streamed whether the answer is sent part by part
 */
record CompletionCall(ModelName model, CompletionFormat format, String prompt, long outputTokens, boolean streamed) {

    /** Characters of a prompt that count as one token. */
    static final int CHARACTERS_PER_TOKEN = 4;

    /** Longest answer of a request that names none, in tokens. */
    private static final long DEFAULT_OUTPUT_TOKENS = 256;

    /** The longest answer that a request may name, in tokens. */
    private static final long MAX_OUTPUT_TOKENS = 1_000_000;

    /**
     * Parses a request.
     *
     * @param body the body
     * @param format the form of the request
     * @return the call, or why it is refused
     */
    static Result<CompletionCall, Refusal> parse(byte[] body, CompletionFormat format) {
        JsonNode json;
        try {
            json = JsonResponse.MAPPER.readTree(body);
        } catch (IOException malformed) {
            return invalid("The body is not JSON.");
        }
        if (json == null || !json.isObject()) {
            return invalid("The body is not a JSON object.");
        }
        String prompt = format.prompt(json);
        if (prompt.isEmpty()) {
            return invalid("A prompt is required.");
        }
        JsonNode outputTokens = json.path("max_tokens");
        if (!outputTokens.isMissingNode() && !outputTokens.isIntegralNumber()) {
            return invalid("max_tokens must be a whole number.");
        }
        long output = outputTokens.asLong(DEFAULT_OUTPUT_TOKENS);
        if (output < 1 || output > MAX_OUTPUT_TOKENS) {
            return invalid("max_tokens must be from 1 to " + MAX_OUTPUT_TOKENS + ".");
        }
        try {
            ModelName model = new ModelName(json.path("model").asText());
            boolean streamed = json.path("stream").asBoolean(false);
            return Result.success(new CompletionCall(model, format, prompt, output, streamed));
        } catch (IllegalArgumentException malformed) {
            return invalid("A model is required.");
        }
    }

    /**
     * Returns the length of the prompt.
     *
     * @return the length in tokens, estimated from its characters
     */
    long promptTokens() {
        return Math.max(1, prompt.length() / CHARACTERS_PER_TOKEN);
    }

    /**
     * Makes the calls of the attempts; the prompt is encoded once.
     *
     * @return the template
     */
    CallTemplate template() {
        ObjectNode json = JsonResponse.MAPPER.createObjectNode();
        json.put("model", model.value());
        json.put("prompt", prompt);
        json.put("max_tokens", outputTokens);
        json.put("stream", true);
        byte[] encoded = JsonResponse.text(json).getBytes(StandardCharsets.UTF_8);
        return (attempt, priority, resumeFrom) -> {
            String rest = ",\"request_id\":\"" + attempt + "\",\"priority\":" + priority + ",\"resume_from\":"
                    + resumeFrom + "}";
            ByteArrayOutputStream body = new ByteArrayOutputStream(encoded.length + rest.length());
            body.write(encoded, 0, encoded.length - 1);
            body.writeBytes(rest.getBytes(StandardCharsets.UTF_8));
            return new TargetCall("POST", "/v1/completions", JsonResponse.JSON, body.toByteArray());
        };
    }

    /**
     * Refuses a request.
     *
     * @param sentence the reason
     * @return the refusal
     */
    private static Result<CompletionCall, Refusal> invalid(String sentence) {
        return Result.failure(Refusal.notRun(ErrorCode.INVALID_REQUEST, sentence));
    }
}
