package org.bamboohatch.kernel.id;

/**
 * Identity of a non-idempotent run: an idempotency key, which is unique within its client account.
 *
 * @param account client account that sent the key
 * @param key idempotency key, 1 to 255 characters that are not all blank
 */
public record RunKey(AccountName account, String key) {

    /** Maximum length of an idempotency key, in characters. */
    public static final int MAX_KEY_LENGTH = 255;

    /**
     * Validates the length of the key.
     *
     * @throws IllegalArgumentException if the key is null, blank or too long
     */
    public RunKey {
        if (key == null || key.isBlank() || key.length() > MAX_KEY_LENGTH) {
            throw new IllegalArgumentException("idempotency key must be 1 to " + MAX_KEY_LENGTH + " characters");
        }
    }
}
