package org.bamboohatch.gateway.http;

import java.util.List;

import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpRequestDecoder;

/**
 * Decodes requests and rejects those with an ambiguous host or body length, which the gateway and another HTTP
 * implementation could interpret differently.
 */
final class StrictRequestDecoder extends HttpRequestDecoder {

    /** Fields that must not be repeated. In HTTP/1.0, Netty takes the first of several lengths. */
    private static final List<String> UNIQUE_FIELDS =
            List.of(HttpHeaderNames.CONTENT_LENGTH.toString(), HttpHeaderNames.HOST.toString());

    /**
     * Creates a decoder with a size limit.
     *
     * @param maximumHeaderBytes maximum size of the request line, and of the header fields, in bytes
     */
    StrictRequestDecoder(int maximumHeaderBytes) {
        super(new HttpDecoderConfig()
                .setMaxInitialLineLength(maximumHeaderBytes)
                .setMaxHeaderSize(maximumHeaderBytes)
                .setAllowDuplicateContentLengths(false));
    }

    @Override
    protected HttpMessage createMessage(String[] requestLine) throws Exception {
        HttpRequest request = (HttpRequest) super.createMessage(requestLine);
        return new DefaultHttpRequest(
                request.protocolVersion(), request.method(), request.uri(), new UniqueFieldHeaders(UNIQUE_FIELDS));
    }

    /** Invoked with a complete head, before its framing is determined. */
    @Override
    protected boolean isContentAlwaysEmpty(HttpMessage message) {
        MessageFraming.requireUnambiguous(message);
        // Netty gives requests with this field of a draft protocol a body of eight bytes.
        if (message.headers().contains(HttpHeaderNames.SEC_WEBSOCKET_KEY1)) {
            throw new IllegalArgumentException("body without a declared length");
        }
        return super.isContentAlwaysEmpty(message);
    }
}
