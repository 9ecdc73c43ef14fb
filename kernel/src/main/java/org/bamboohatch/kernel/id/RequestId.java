package org.bamboohatch.kernel.id;

import java.util.UUID;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * Identifier of one caller request.
 *
 * @param value the text of the id, 1 to 128 characters
 */
public record RequestId(@JsonValue String value) implements Comparable<RequestId> {

    /**
     * Checks the text.
     *
     * @throws IllegalArgumentException if the text is not allowed in an id
     */
    @JsonCreator(mode = JsonCreator.Mode.DELEGATING)
    public RequestId {
        Names.check(value, "request id");
    }

    /**
     * Makes an id that has never been used.
     *
     * @return the new id
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
