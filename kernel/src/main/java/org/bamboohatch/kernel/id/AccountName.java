package org.bamboohatch.kernel.id;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * Name of a client account.
 *
 * @param value the text of the id, 1 to 128 characters
 */
public record AccountName(@JsonValue String value) implements Comparable<AccountName> {

    /**
     * Checks the text.
     *
     * @throws IllegalArgumentException if the text is not allowed in an id
     */
    @JsonCreator(mode = JsonCreator.Mode.DELEGATING)
    public AccountName {
        Names.check(value, "client account name");
    }

    @Override
    public int compareTo(AccountName other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
