package org.bamboohatch.kernel.outcome;

import com.fasterxml.jackson.annotation.JsonValue;

/** What a caller may conclude about the run behind an error. */
public enum RunOutcome {
    /** The request did not run and never will under this attempt. */
    NOT_RUN("not-run"),
    /** The request may have run; its end is not known. */
    UNKNOWN("unknown"),
    /** The request ran, or started to run, and failed. */
    FAILED("failed");

    /** The word in JSON. */
    private final String word;

    /**
     * Creates an outcome.
     *
     * @param word the word in JSON
     */
    RunOutcome(String word) {
        this.word = word;
    }

    /**
     * Returns the word in JSON.
     *
     * @return the word in JSON
     */
    @JsonValue
    public String wireName() {
        return word;
    }
}
