package org.bamboohatch.kernel.id;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * Id of a part of a prompt, such as a document, that several requests may share. Callers choose ids freely, so any text
 * is accepted; ids that are alike in their first {@value #MAX_LENGTH} characters are equal.
 *
 * @param value the id, cut after {@value #MAX_LENGTH} characters
 */
public record PromptPartId(@JsonValue String value) {

    /** Number of characters that identify a part; limits the memory that callers can occupy. */
    static final int MAX_LENGTH = 64;

    /** Cuts an id that is too long. */
    @JsonCreator(mode = JsonCreator.Mode.DELEGATING)
    public PromptPartId {
        value = value.length() <= MAX_LENGTH ? value : value.substring(0, MAX_LENGTH);
    }

    @Override
    public String toString() {
        return value;
    }
}
