package org.bamboohatch.protocol.message;

/**
 * The answer of a finished run as recorded in the ledger.
 *
 * @param status HTTP status of the answer
 * @param contentType media type of the body
 * @param body body of the answer, empty if it was omitted
 * @param bodyOmitted whether the body was longer than {@link #MAX_BODY_BYTES}
 */
public record RecordedAnswer(int status, String contentType, byte[] body, boolean bodyOmitted) {

    /** Maximum length of a body that is recorded, in bytes. */
    public static final int MAX_BODY_BYTES = 65_536;

    /**
     * Records an answer, and omits its body if that is too long.
     *
     * @param status HTTP status of the answer
     * @param contentType media type of the body
     * @param body the whole body
     */
    public RecordedAnswer(int status, String contentType, byte[] body) {
        this(status, contentType, body.length > MAX_BODY_BYTES ? new byte[0] : body, body.length > MAX_BODY_BYTES);
    }
}
