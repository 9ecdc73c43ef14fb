package org.bamboohatch.http;

import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.Map;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.datatype.jdk8.Jdk8Module;
import org.bamboohatch.kernel.outcome.Refusal;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;

/** Writes JSON answers and errors. */
public final class JsonResponse {

    /** Media type of JSON. */
    public static final String JSON = "application/json";

    /** Maps values to JSON. */
    public static final ObjectMapper MAPPER = new ObjectMapper().registerModule(new Jdk8Module());

    /** Not instantiated. */
    private JsonResponse() {}

    /**
     * Writes a value.
     *
     * @param response the response
     * @param callback completes the exchange
     * @param status the HTTP status
     * @param value the value
     */
    public static void write(Response response, Callback callback, int status, Object value) {
        write(response, callback, status, JSON, toJson(value).getBytes(java.nio.charset.StandardCharsets.UTF_8));
    }

    /**
     * Writes bytes.
     *
     * @param response the response
     * @param callback completes the exchange
     * @param status the HTTP status
     * @param contentType the media type
     * @param body the bytes
     */
    public static void write(Response response, Callback callback, int status, String contentType, byte[] body) {
        response.setStatus(status);
        response.getHeaders().put(HttpHeader.CONTENT_TYPE, contentType);
        response.write(true, ByteBuffer.wrap(body), callback);
    }

    /**
     * Writes an error, with the time to come back in {@code Retry-After} if there is one.
     *
     * @param response the response
     * @param callback completes the exchange
     * @param refusal the error
     */
    public static void writeRefusal(Response response, Callback callback, Refusal refusal) {
        refusal.retryAfter()
                .ifPresent(delay -> response.getHeaders().put(HttpHeader.RETRY_AFTER, Long.toString(seconds(delay))));
        write(response, callback, refusal.code().status(), errorBody(refusal));
    }

    /**
     * Makes the JSON body of an error.
     *
     * @param refusal the error
     * @return code, sentence and outcome
     */
    public static Map<String, Object> errorBody(Refusal refusal) {
        Map<String, Object> error = new LinkedHashMap<>();
        error.put("code", refusal.code().wireName());
        error.put("message", refusal.sentence());
        error.put("outcome", refusal.outcome().wireName());
        refusal.retryAfter().ifPresent(delay -> error.put("retry_after_seconds", seconds(delay)));
        return Map.of("error", error);
    }

    /**
     * Renders a value as JSON.
     *
     * @param value the value
     * @return the JSON text
     */
    public static String toJson(Object value) {
        try {
            return MAPPER.writeValueAsString(value);
        } catch (JsonProcessingException impossible) {
            throw new IllegalStateException(impossible);
        }
    }

    /**
     * Rounds a delay up to seconds.
     *
     * @param delay the delay
     * @return whole seconds, at least one
     */
    private static long seconds(Duration delay) {
        return Math.max(1, (delay.toMillis() + 999) / 1000);
    }
}
