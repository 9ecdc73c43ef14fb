package org.bamboohatch.protocol.message;

/**
 * The answer of a finished run as recorded in the ledger.
 *
 * @param status HTTP status of the answer
 * @param contentType media type of the body
 * @param body body of the answer, empty if it was longer than {@link #MAX_BODY_BYTES}
 */
public record RecordedAnswer(int status, String contentType, byte[] body) {

    /** Maximum length of a body that is recorded, in bytes. */
    public static final int MAX_BODY_BYTES = 65_536;
}
