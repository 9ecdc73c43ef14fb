package org.bamboohatch.kernel.id;

import java.util.UUID;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * Identifier of one attempt to run a request. It is never reused.
 *
 * @param value 1 to 128 letters, digits or {@code ._:/@-}, starting with a letter or digit
 */
public record AttemptId(@JsonValue String value) implements Comparable<AttemptId> {

    /**
     * Validates the text of the id.
     *
     * @throws IllegalArgumentException if the text is empty, too long or contains other characters
     */
    @JsonCreator(mode = JsonCreator.Mode.DELEGATING)
    public AttemptId {
        NameValidator.check(value, "attempt id");
    }

    /**
     * Creates a unique identifier from a random UUID.
     *
     * @return an identifier that has not been used before
     */
    public static AttemptId random() {
        return new AttemptId(UUID.randomUUID().toString());
    }

    @Override
    public int compareTo(AttemptId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
