package org.bamboohatch.kernel.id;

import java.util.UUID;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * Identifier of one request of a caller.
 *
 * @param value 1 to 128 letters, digits or {@code ._:/@-}, starting with a letter or digit
 */
public record RequestId(@JsonValue String value) implements Comparable<RequestId> {

    /**
     * Validates the text of the id.
     *
     * @throws IllegalArgumentException if the text is empty, too long or contains other characters
     */
    @JsonCreator(mode = JsonCreator.Mode.DELEGATING)
    public RequestId {
        NameValidator.check(value, "request id");
    }

    /**
     * Creates a unique identifier from a random UUID.
     *
     * @return an identifier that has not been used before
     */
    public static RequestId random() {
        return new RequestId(UUID.randomUUID().toString());
    }

    @Override
    public int compareTo(RequestId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
