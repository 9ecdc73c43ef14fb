package org.bamboohatch.kernel.id;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * Name of a client account.
 *
 * @param value 1 to 128 letters, digits or {@code ._:/@-}, starting with a letter or digit
 */
public record AccountName(@JsonValue String value) implements Comparable<AccountName> {

    /**
     * Validates the text of the name.
     *
     * @throws IllegalArgumentException if the text is empty, too long or contains other characters
     */
    @JsonCreator(mode = JsonCreator.Mode.DELEGATING)
    public AccountName {
        NameValidator.check(value, "client account name");
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
