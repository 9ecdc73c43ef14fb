package org.bamboohatch.kernel.outcome;

/** Codes of the errors that callers see, each with its HTTP status. */
public enum ErrorCode {
    /** The request is malformed. */
    INVALID_REQUEST(400),
    /** The API key is missing or unknown. */
    UNKNOWN_ACCOUNT(401),
    /** The model or service is not known. */
    NOT_FOUND(404),
    /** The HTTP method is not allowed here. */
    METHOD_NOT_ALLOWED(405),
    /** The idempotency key was used with another body. */
    KEY_REUSED(422),
    /** The request did not arrive in time. */
    REQUEST_TIMEOUT(408),
    /** The head of the request is over its bound. */
    HEADERS_TOO_LARGE(431),
    /** The body is over its bound. */
    TOO_LARGE(413),
    /** The client account is over its share or limit. */
    OVER_LIMIT(429),
    /** The request cannot be finished within its time at the present load. */
    OVERLOADED(503),
    /** No target is available. */
    NO_TARGET(503),
    /** The process is stopping or cannot show that its configuration is fresh. */
    NOT_READY(503),
    /** The deadline passed. */
    DEADLINE_EXCEEDED(504),
    /** The target failed. */
    TARGET_FAILED(502),
    /** The end of a run is not known. */
    RUN_UNKNOWN(504);

    /** The HTTP status. */
    private final int status;

    /**
     * Creates a code.
     *
     * @param status the HTTP status
     */
    ErrorCode(int status) {
        this.status = status;
    }

    /**
     * Returns the HTTP status.
     *
     * @return the HTTP status
     */
    public int status() {
        return status;
    }

    /**
     * Returns the code as callers see it.
     *
     * @return lower-case words joined by underscores
     */
    public String wireName() {
        return name().toLowerCase(java.util.Locale.ROOT);
    }
}
