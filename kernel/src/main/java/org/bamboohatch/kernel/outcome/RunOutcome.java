package org.bamboohatch.kernel.outcome;

import com.fasterxml.jackson.annotation.JsonValue;

/** Indicates in an error response whether the request ran. */
public enum RunOutcome {
    /** The request did not run and never will under this attempt. */
    NOT_RUN("not-run"),
    /** The request may have run; its outcome is unknown. */
    UNKNOWN("unknown"),
    /** The request ran, or started to run, and failed. */
    FAILED("failed");

    private final String wireName;

    RunOutcome(String wireName) {
        this.wireName = wireName;
    }

    /** Returns the value as it is written in JSON. */
    @JsonValue
    public String wireName() {
        return wireName;
    }
}
