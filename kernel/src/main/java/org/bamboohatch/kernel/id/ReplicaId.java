package org.bamboohatch.kernel.id;

import java.util.UUID;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * Identity of a replica of the log. It belongs to a data folder: a replica with a new folder has a new identity.
 *
 * @param value 1 to 128 letters, digits or {@code ._:/@-}, starting with a letter or digit
 */
public record ReplicaId(@JsonValue String value) implements Comparable<ReplicaId> {

    /**
     * Validates the text of the id.
     *
     * @throws IllegalArgumentException if the text is empty, too long or contains other characters
     */
    @JsonCreator(mode = JsonCreator.Mode.DELEGATING)
    public ReplicaId {
        NameValidator.check(value, "replica id");
    }

    /**
     * Creates a unique identifier from a random UUID.
     *
     * @return an identifier that has not been used before
     */
    public static ReplicaId random() {
        return new ReplicaId(UUID.randomUUID().toString());
    }

    @Override
    public int compareTo(ReplicaId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
