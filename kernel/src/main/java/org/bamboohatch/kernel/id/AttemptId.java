package org.bamboohatch.kernel.id;

import java.util.UUID;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * Identifier of one attempt to run a request, never used twice.
 *
 * @param value the text of the id, 1 to 128 characters
 */
public record AttemptId(@JsonValue String value) implements Comparable<AttemptId> {

    /**
     * Checks the text.
     *
     * @throws IllegalArgumentException if the text is not allowed in an id
     */
    @JsonCreator(mode = JsonCreator.Mode.DELEGATING)
    public AttemptId {
        Names.check(value, "attempt id");
    }

    /**
     * Makes an id that has never been used.
     *
     * @return the new id
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
