package org.bamboohatch.gateway.http;

import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpRequestDecoder;

/** Decodes requests and refuses those whose length two readers could understand in two ways. */
final class StrictRequestDecoder extends HttpRequestDecoder {

    /**
     * Creates a decoder.
     *
     * @param maximumHeaderBytes largest head, in bytes
     */
    StrictRequestDecoder(int maximumHeaderBytes) {
        super(new HttpDecoderConfig()
                .setMaxInitialLineLength(maximumHeaderBytes)
                .setMaxHeaderSize(maximumHeaderBytes)
                .setAllowDuplicateContentLengths(false));
    }

    @Override
    protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
        throw new IllegalArgumentException("both a length and chunks");
    }
}
