package org.bamboohatch.protocol.message;

/**
 * The recorded answer of a finished run.
 *
 * @param status the HTTP status
 * @param contentType the media type of the body
 * @param body the body
 */
public record RecordedAnswer(int status, String contentType, byte[] body) {

    /** The largest body that is recorded, in bytes. */
    public static final int MAX_BODY_BYTES = 65_536;
}
