package org.bamboohatch.kernel.id;

import java.util.regex.Pattern;

/** Rules that the text of every id obeys. */
final class Names {

    /** Letters, digits and a few separators; safe in URLs, file names and logs. */
    private static final Pattern ALLOWED = Pattern.compile("[A-Za-z0-9][A-Za-z0-9._:/@-]{0,127}");

    /** Not instantiated. */
    private Names() {}

    /**
     * Checks one text.
     *
     * @param value the text
     * @param what what the text names, for the message
     * @throws IllegalArgumentException if the text is not allowed
     */
    static void check(String value, String what) {
        if (value == null || !ALLOWED.matcher(value).matches()) {
            throw new IllegalArgumentException(what + " must be 1 to 128 letters, digits or ._:/@- and start with a"
                    + " letter or digit, but is '" + value + "'");
        }
    }
}
