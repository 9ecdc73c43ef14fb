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
import org.eclipse.jetty.util.BufferUtil;
import org.eclipse.jetty.util.Callback;

/** Writes JSON responses and errors. */
public final class JsonResponse {

    /** The media type of JSON. */
    public static final String JSON = "application/json";

    /** Mapper for all JSON bodies; {@code Optional} values are written as their content or null. */
    public static final ObjectMapper MAPPER = new ObjectMapper().registerModule(new Jdk8Module());

    private JsonResponse() {}

    /**
     * Writes a complete response with a JSON body.
     *
     * @param response the response to write
     * @param callback completed when the response is written or has failed
     * @param status HTTP status of the response
     * @param value value to serialize as the body
     */
    public static void write(Response response, Callback callback, int status, Object value) {
        write(response, callback, status, JSON, toJson(value).getBytes(java.nio.charset.StandardCharsets.UTF_8));
    }

    /**
     * Writes a complete response.
     *
     * @param response the response to write
     * @param callback completed when the response is written or has failed
     * @param status HTTP status of the response
     * @param contentType media type of the body
     * @param body content of the body
     */
    public static void write(Response response, Callback callback, int status, String contentType, byte[] body) {
        response.setStatus(status);
        response.getHeaders().put(HttpHeader.CONTENT_TYPE, contentType);
        response.write(true, ByteBuffer.wrap(body), callback);
    }

    /**
     * Writes a response to a request with the method {@code HEAD}, whose body is not known and would have any length.
     *
     * @param response the response to write
     * @param callback completed when the response is written or has failed
     * @param status HTTP status of the response
     * @param contentType media type of the body
     */
    public static void writeHead(Response response, Callback callback, int status, String contentType) {
        response.setStatus(status);
        response.getHeaders().put(HttpHeader.CONTENT_TYPE, contentType);
        // A last write would state its length.
        response.write(
                false,
                BufferUtil.EMPTY_BUFFER,
                Callback.from(() -> response.write(true, BufferUtil.EMPTY_BUFFER, callback), callback::failed));
    }

    /**
     * Writes an error response. A retry delay is also sent in the {@code Retry-After} header field.
     *
     * @param response the response to write
     * @param callback completed when the response is written or has failed
     * @param refusal error to report; its code determines the HTTP status
     */
    public static void writeRefusal(Response response, Callback callback, Refusal refusal) {
        refusal.retryAfter()
                .ifPresent(delay -> response.getHeaders().put(HttpHeader.RETRY_AFTER, Long.toString(seconds(delay))));
        write(response, callback, refusal.code().status(), errorBody(refusal));
    }

    /**
     * Creates the JSON body of an error.
     *
     * @param refusal error to describe
     * @return the code, message, outcome and optional retry delay in seconds, nested under {@code error}
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
     * Serializes a value.
     *
     * @param value value that {@link #MAPPER} can serialize
     * @return the JSON text
     * @throws IllegalStateException if the value cannot be serialized
     */
    public static String toJson(Object value) {
        try {
            return MAPPER.writeValueAsString(value);
        } catch (JsonProcessingException exception) {
            throw new IllegalStateException(exception);
        }
    }

    /**
     * Rounds a delay up to whole seconds.
     *
     * @param delay the delay
     * @return the delay in seconds, at least one
     */
    private static long seconds(Duration delay) {
        return Math.max(1, (delay.toMillis() + 999) / 1000);
    }
}
