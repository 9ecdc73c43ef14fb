package org.bamboohatch.kernel.id;

import java.util.UUID;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * Identity of a replica of the log; it lives and dies with a data folder.
 *
 * @param value the text of the id, 1 to 128 characters
 */
public record ReplicaId(@JsonValue String value) implements Comparable<ReplicaId> {

    /**
     * Checks the text.
     *
     * @throws IllegalArgumentException if the text is not allowed in an id
     */
    @JsonCreator(mode = JsonCreator.Mode.DELEGATING)
    public ReplicaId {
        Names.check(value, "replica id");
    }

    /**
     * Makes an id that has never been used.
     *
     * @return the new id
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
