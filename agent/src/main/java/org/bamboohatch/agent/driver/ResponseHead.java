package org.bamboohatch.agent.driver;

import java.util.Optional;
import java.util.regex.Pattern;

import org.eclipse.jetty.client.Response;
import org.eclipse.jetty.http.HttpField;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.http.HttpStatus;

/** Checks of the head of a response that the HTTP client has accepted. */
final class ResponseHead {

    private static final Pattern STATUS_LINE = Pattern.compile("HTTP/\\d\\.\\d \\d{3}");

    private ResponseHead() {}

    /**
     * Determines why the body behind a head is not what the target's application has sent under this head.
     *
     * @param response response of which the head is received
     * @return the fault as a sentence, or empty if there is none
     */
    static Optional<String> fault(Response response) {
        if (HttpStatus.isInformational(response.getStatus())) {
            return Optional.of("the interim status " + response.getStatus() + " ends the response");
        }
        if (isJoined(response)) {
            return Optional.of("the head of another response stands within the head");
        }
        return response.getHeaders().stream()
                .filter(ResponseHead::isCoded)
                .findFirst()
                .map(field -> "the body is coded: " + field);
    }

    /**
     * Indicates whether a head was cut, and the status line of a later response was read as the rest of its line.
     *
     * @param response response of which the head is received
     * @return {@code true} if a status line stands in the reason or in a field
     */
    private static boolean isJoined(Response response) {
        return isStatusLine(response.getReason())
                || response.getHeaders().stream().anyMatch(field -> isStatusLine(field.getValue()));
    }

    private static boolean isStatusLine(String text) {
        return text != null && STATUS_LINE.matcher(text).find();
    }

    /**
     * Indicates whether a field names a coding that neither the agent nor, without the field, a caller can decode.
     *
     * @param field field of a head
     * @return {@code true} if the body is coded
     */
    private static boolean isCoded(HttpField field) {
        return field.is(HttpHeader.CONTENT_ENCODING.asString()) && !"identity".equalsIgnoreCase(field.getValue())
                || field.is(HttpHeader.TRANSFER_ENCODING.asString()) && !"chunked".equalsIgnoreCase(field.getValue());
    }
}
