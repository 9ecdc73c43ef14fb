package org.bamboohatch.entry.http;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.bamboohatch.entry.request.TargetCallFactory;
import org.bamboohatch.http.JsonResponse;
import org.bamboohatch.kernel.id.ModelName;
import org.bamboohatch.kernel.outcome.ErrorCode;
import org.bamboohatch.kernel.outcome.Refusal;
import org.bamboohatch.kernel.outcome.Result;
import org.bamboohatch.protocol.message.TargetCall;

/**
 * A parsed completion request.
 *
 * @param model name of the model
 * @param format format of the request and of its response
 * @param prompt text of the prompt
 * @param maximumOutputTokens maximum length of the output, in tokens
 * @param streamed whether the response is sent as server-sent events
 */
record CompletionCall(
        ModelName model, CompletionFormat format, String prompt, long maximumOutputTokens, boolean streamed) {

    /** Number of characters that count as one token in the estimated length of a prompt. */
    static final int CHARACTERS_PER_TOKEN = 4;

    /** Maximum output length of a request without {@code max_tokens}. */
    private static final long DEFAULT_OUTPUT_TOKENS = 256;

    /** Largest accepted value of {@code max_tokens}. */
    private static final long MAX_OUTPUT_TOKENS = 1_000_000;

    /**
     * Parses a request.
     *
     * @param body the JSON body
     * @param format format of the request
     * @return the parsed request, or the error to report to the caller
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
        JsonNode maxTokens = json.path("max_tokens");
        if (!maxTokens.isMissingNode() && !maxTokens.isIntegralNumber()) {
            return invalid("max_tokens must be a whole number.");
        }
        long maximumOutputTokens = maxTokens.asLong(DEFAULT_OUTPUT_TOKENS);
        if (maximumOutputTokens < 1 || maximumOutputTokens > MAX_OUTPUT_TOKENS) {
            return invalid("max_tokens must be from 1 to " + MAX_OUTPUT_TOKENS + ".");
        }
        try {
            ModelName model = new ModelName(json.path("model").asText());
            boolean streamed = json.path("stream").asBoolean(false);
            return Result.success(new CompletionCall(model, format, prompt, maximumOutputTokens, streamed));
        } catch (IllegalArgumentException malformed) {
            return invalid("A model is required.");
        }
    }

    /**
     * Estimates the length of the prompt from its number of characters.
     *
     * @return the length in tokens, at least one
     */
    long promptTokens() {
        return Math.max(1, prompt.length() / CHARACTERS_PER_TOKEN);
    }

    /**
     * Creates the factory of the calls to targets. The prompt is encoded only once; each call appends the fields that
     * differ between attempts.
     *
     * @return the factory
     */
    TargetCallFactory callFactory() {
        ObjectNode json = JsonResponse.MAPPER.createObjectNode();
        json.put("model", model.value());
        json.put("prompt", prompt);
        json.put("max_tokens", maximumOutputTokens);
        json.put("stream", true);
        byte[] encoded = JsonResponse.toJson(json).getBytes(StandardCharsets.UTF_8);
        return (attempt, priority, resumeFrom) -> {
            String suffix = ",\"request_id\":\"" + attempt + "\",\"priority\":" + priority + ",\"resume_from\":"
                    + resumeFrom + "}";
            ByteArrayOutputStream body = new ByteArrayOutputStream(encoded.length + suffix.length());
            body.write(encoded, 0, encoded.length - 1);
            body.writeBytes(suffix.getBytes(StandardCharsets.UTF_8));
            return new TargetCall("POST", "/v1/completions", JsonResponse.JSON, body.toByteArray());
        };
    }

    private static Result<CompletionCall, Refusal> invalid(String sentence) {
        return Result.failure(Refusal.notRun(ErrorCode.INVALID_REQUEST, sentence));
    }
}
