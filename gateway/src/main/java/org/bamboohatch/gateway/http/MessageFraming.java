package org.bamboohatch.gateway.http;

import java.util.List;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpVersion;

/** Checks of the header fields that determine where the body of a message ends. */
public final class MessageFraming {

    private MessageFraming() {}

    /**
     * Requires that a message has at most one transfer coding, which is chunked, and then no length. The field is not
     * forwarded, so a body with another coding would be taken for a plain one; and implementations differ on where a
     * body ends that has both, or one in HTTP/1.0.
     *
     * @param message complete head of a request or response
     * @throws IllegalArgumentException if the message is framed otherwise
     */
    public static void requireUnambiguous(HttpMessage message) {
        List<String> codings = message.headers().getAll(HttpHeaderNames.TRANSFER_ENCODING);
        if (codings.isEmpty()) {
            return;
        }
        if (codings.size() > 1
                || !HttpHeaderValues.CHUNKED.contentEqualsIgnoreCase(
                        codings.get(0).strip())) {
            throw new IllegalArgumentException("transfer coding other than chunked: " + codings);
        }
        if (message.protocolVersion().compareTo(HttpVersion.HTTP_1_1) < 0) {
            throw new IllegalArgumentException("transfer coding in " + message.protocolVersion());
        }
        if (message.headers().contains(HttpHeaderNames.CONTENT_LENGTH)) {
            throw new IllegalArgumentException("both Content-Length and Transfer-Encoding: chunked");
        }
    }
}
