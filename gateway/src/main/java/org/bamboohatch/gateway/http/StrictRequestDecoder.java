package org.bamboohatch.gateway.http;

import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpRequestDecoder;

/**
 * Decodes requests and rejects those with an ambiguous body length, which the gateway and another HTTP implementation
 * could interpret differently.
 */
final class StrictRequestDecoder extends HttpRequestDecoder {

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
    protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
        throw new IllegalArgumentException("both Content-Length and Transfer-Encoding: chunked");
    }
}
