package org.bamboohatch.kernel.id;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * Name of a host, unique in the installation.
 *
 * @param value the text of the id, 1 to 128 characters
 */
public record HostName(@JsonValue String value) implements Comparable<HostName> {

    /**
     * Checks the text.
     *
     * @throws IllegalArgumentException if the text is not allowed in an id
     */
    @JsonCreator(mode = JsonCreator.Mode.DELEGATING)
    public HostName {
        Names.check(value, "host name");
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
