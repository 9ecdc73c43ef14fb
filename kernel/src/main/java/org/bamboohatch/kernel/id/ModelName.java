package org.bamboohatch.kernel.id;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * Name of a model as callers write it.
 *
 * @param value the text of the id, 1 to 128 characters
 */
public record ModelName(@JsonValue String value) implements Comparable<ModelName> {

    /**
     * Checks the text.
     *
     * @throws IllegalArgumentException if the text is not allowed in an id
     */
    @JsonCreator(mode = JsonCreator.Mode.DELEGATING)
    public ModelName {
        Names.check(value, "model name");
    }

    @Override
    public int compareTo(ModelName other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
