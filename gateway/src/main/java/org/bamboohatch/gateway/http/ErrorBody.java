package org.bamboohatch.gateway.http;

import java.nio.charset.StandardCharsets;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.bamboohatch.kernel.outcome.Refusal;

/** Writes the bodies of the gateway's own error responses. */
final class ErrorBody {

    private static final ObjectMapper MAPPER = new ObjectMapper();

    private ErrorBody() {}

    /**
     * Returns the body of an error response.
     *
     * @param refusal the error to report
     * @return a JSON object
     */
    static byte[] of(Refusal refusal) {
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
