package org.bamboohatch.kernel.id;

/**
 * Identity of a non-idempotent run: an idempotency key within its client account.
 *
 * @param account the client account
 * @param key the idempotency key, 1 to 255 characters
 */
public record RunKey(AccountName account, String key) {

    /** The longest key accepted, in characters. */
    public static final int MAX_KEY_LENGTH = 255;

    /**
     * Checks the key.
     *
     * @throws IllegalArgumentException if the key is empty or too long
     */
    public RunKey {
        if (key == null || key.isBlank() || key.length() > MAX_KEY_LENGTH) {
            throw new IllegalArgumentException("idempotency key must be 1 to " + MAX_KEY_LENGTH + " characters");
        }
    }
}
