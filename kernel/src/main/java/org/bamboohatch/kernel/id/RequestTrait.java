package org.bamboohatch.kernel.id;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * What several requests may have in common, such as a document in their prompts. Callers choose the ids of prompt parts
 * freely, so any text is accepted; traits that are alike in their first {@value #MAX_LENGTH} characters are equal.
 *
 * @param value id of a prompt part, cut after {@value #MAX_LENGTH} characters
 */
public record RequestTrait(@JsonValue String value) {

    /** Number of characters that identify a trait; limits the memory that callers can occupy. */
    static final int MAX_LENGTH = 64;

    /** Cuts an id that is too long. */
    @JsonCreator(mode = JsonCreator.Mode.DELEGATING)
    public RequestTrait {
        value = value.length() <= MAX_LENGTH ? value : value.substring(0, MAX_LENGTH);
    }

    @Override
    public String toString() {
        return value;
    }
}
