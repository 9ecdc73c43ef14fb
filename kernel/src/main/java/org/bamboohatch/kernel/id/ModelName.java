package org.bamboohatch.kernel.id;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * Name of a model, as used in requests of callers.
 *
 * @param value 1 to 128 letters, digits or {@code ._:/@-}, starting with a letter or digit
 */
public record ModelName(@JsonValue String value) implements Comparable<ModelName> {

    /**
     * Validates the text of the name.
     *
     * @throws IllegalArgumentException if the text is empty, too long or contains other characters
     */
    @JsonCreator(mode = JsonCreator.Mode.DELEGATING)
    public ModelName {
        NameValidator.check(value, "model name");
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
