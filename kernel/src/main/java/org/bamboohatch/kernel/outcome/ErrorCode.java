package org.bamboohatch.kernel.outcome;

/** Error codes that are reported to callers, each with its HTTP status. */
public enum ErrorCode {
    /** The request is malformed. */
    INVALID_REQUEST(400),
    /** The API key is missing or unknown. */
    UNKNOWN_ACCOUNT(401),
    /** The model or service is unknown. */
    NOT_FOUND(404),
    /** The HTTP method is not supported for this path. */
    METHOD_NOT_ALLOWED(405),
    /** The idempotency key was already used with a different body. */
    KEY_REUSED(422),
    /** The request was not received in time. */
    REQUEST_TIMEOUT(408),
    /** The header section of the request exceeds its size limit. */
    HEADERS_TOO_LARGE(431),
    /** The request body exceeds its size limit. */
    TOO_LARGE(413),
    /** The client account exceeds its share or limit. */
    OVER_LIMIT(429),
    /** The request cannot be completed within its deadline at the current load. */
    OVERLOADED(503),
    /** No target is available. */
    NO_TARGET(503),
    /** A part of the prompt has ended several engines. */
    PROMPT_QUARANTINED(503),
    /** The same request has ended several targets. */
    REQUEST_QUARANTINED(503),
    /** The process is stopping or cannot show that its configuration is fresh. */
    NOT_READY(503),
    /** The request was not completed before its deadline. */
    DEADLINE_EXCEEDED(504),
    /** The target failed. */
    TARGET_FAILED(502),
    /** The request ran before, and its response was too long to be recorded. */
    RESPONSE_NOT_RECORDED(502),
    /** The outcome of the run is unknown. */
    RUN_UNKNOWN(504);

    private final int status;

    ErrorCode(int status) {
        this.status = status;
    }

    public int status() {
        return status;
    }

    /**
     * Returns the code as it is written in responses.
     *
     * @return the constant name in lower case, with words joined by underscores
     */
    public String wireName() {
        return name().toLowerCase(java.util.Locale.ROOT);
    }
}
