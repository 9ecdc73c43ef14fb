package org.bamboohatch.kernel.id;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * Name of a host, unique in the installation.
 *
 * @param value 1 to 128 letters, digits or {@code ._:/@-}, starting with a letter or digit
 */
public record HostName(@JsonValue String value) implements Comparable<HostName> {

    /**
     * Validates the text of the name.
     *
     * @throws IllegalArgumentException if the text is empty, too long or contains other characters
     */
    @JsonCreator(mode = JsonCreator.Mode.DELEGATING)
    public HostName {
        NameValidator.check(value, "host name");
    }

    @Override
    public int compareTo(HostName other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
