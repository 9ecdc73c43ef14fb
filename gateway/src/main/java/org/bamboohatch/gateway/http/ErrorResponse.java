package org.bamboohatch.gateway.http;

import java.nio.charset.StandardCharsets;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import org.bamboohatch.kernel.outcome.Refusal;

/** Creates the parts of the gateway's own error responses. */
final class ErrorResponse {

    private static final ObjectMapper MAPPER = new ObjectMapper();

    private static final double MILLIS_PER_SECOND = 1_000;

    private ErrorResponse() {}

    /**
     * Returns the header fields of an error response.
     *
     * @param refusal the error to report
     * @return the media type, and the delay after which the caller may return if there is one
     */
    static HttpHeaders headers(Refusal refusal) {
        HttpHeaders headers = new DefaultHttpHeaders();
        headers.set(HttpHeaderNames.CONTENT_TYPE, HttpHeaderValues.APPLICATION_JSON);
        refusal.retryAfter()
                .ifPresent(delay ->
                        headers.set(HttpHeaderNames.RETRY_AFTER, String.valueOf(delay.toMillis() / MILLIS_PER_SECOND)));
        return headers;
    }

    /**
     * Returns the body of an error response.
     *
     * @param refusal the error to report
     * @return a JSON object
     */
    static byte[] body(Refusal refusal) {
        ObjectNode error = MAPPER.createObjectNode();
        ObjectNode fields = error.putObject("error");
        fields.put("code", refusal.code().wireName());
        fields.put("message", refusal.sentence());
        fields.put("outcome", refusal.outcome().wireName());
        try {
            return MAPPER.writeValueAsString(error).getBytes(StandardCharsets.UTF_8);
        } catch (JsonProcessingException impossible) {
            throw new IllegalStateException(impossible);
        }
    }
}
