package org.bamboohatch.gateway.target;

import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpUtil;

/** How a response shows where its body ends. */
public enum BodyFraming {
    /** The head declares the length of the body. */
    LENGTH(true),
    /** The body is sent in chunks, the last of which is empty. */
    CHUNKS(true),
    /** The body ends with the connection, which also ends if the target crashes. */
    CONNECTION_END(false);

    private final boolean explicit;

    BodyFraming(boolean explicit) {
        this.explicit = explicit;
    }

    /**
     * Returns the framing of a response.
     *
     * @param response head of the response
     * @return the framing
     */
    public static BodyFraming of(HttpResponse response) {
        if (HttpUtil.isTransferEncodingChunked(response)) {
            return CHUNKS;
        }
        return HttpUtil.isContentLengthSet(response) ? LENGTH : CONNECTION_END;
    }

    /**
     * Indicates whether the response itself shows where it ends.
     *
     * @return whether a response that breaks off can be told from a complete one
     */
    public boolean isExplicit() {
        return explicit;
    }
}
