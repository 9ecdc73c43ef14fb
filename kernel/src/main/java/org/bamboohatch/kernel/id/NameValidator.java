package org.bamboohatch.kernel.id;

import java.util.regex.Pattern;

/** Validates the text of names and identifiers. */
final class NameValidator {

    /** Matches texts that are safe in URLs, file names and logs. */
    private static final Pattern ALLOWED = Pattern.compile("[A-Za-z0-9][A-Za-z0-9._:/@-]{0,127}");

    private NameValidator() {}

    /**
     * Validates a text.
     *
     * @param value the text, may be null
     * @param what kind of name, which begins the message of the exception
     * @throws IllegalArgumentException if the text is not allowed
     */
    static void check(String value, String what) {
        if (value == null || !ALLOWED.matcher(value).matches()) {
            throw new IllegalArgumentException(what + " must be 1 to 128 letters, digits or ._:/@- and start with a"
                    + " letter or digit, but is '" + value + "'");
        }
    }
}
