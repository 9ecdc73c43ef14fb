package org.bamboohatch.kernel.id;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * Name of a target, a model engine or a plain service instance.
 *
 * @param value the text of the id, 1 to 128 characters
 */
public record TargetName(@JsonValue String value) implements Comparable<TargetName> {

    /**
     * Checks the text.
     *
     * @throws IllegalArgumentException if the text is not allowed in an id
     */
    @JsonCreator(mode = JsonCreator.Mode.DELEGATING)
    public TargetName {
        Names.check(value, "target name");
    }

    @Override
    public int compareTo(TargetName other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
