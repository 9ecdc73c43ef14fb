package org.bamboohatch.document;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

/** SHA-256 hashes of API keys and request bodies. */
public final class Sha256 {

    private Sha256() {}

    /**
     * Hashes a text.
     *
     * @param text the text, which is hashed in UTF-8
     * @return 64 lower-case hexadecimal digits
     */
    public static String hash(String text) {
        return hash(text.getBytes(StandardCharsets.UTF_8));
    }

    /**
     * Hashes binary data.
     *
     * @param bytes the data
     * @return 64 lower-case hexadecimal digits
     */
    public static String hash(byte[] bytes) {
        try {
            return HexFormat.of().formatHex(MessageDigest.getInstance("SHA-256").digest(bytes));
        } catch (NoSuchAlgorithmException exception) {
            throw new IllegalStateException(exception);
        }
    }

    /**
     * Compares two hashes in constant time, so that the duration does not reveal how much of them is equal.
     *
     * @param left the first hash in hexadecimal digits
     * @param right the second hash in hexadecimal digits
     * @return {@code true} if the hashes are equal
     */
    public static boolean constantTimeEquals(String left, String right) {
        return MessageDigest.isEqual(
                left.getBytes(StandardCharsets.US_ASCII), right.getBytes(StandardCharsets.US_ASCII));
    }
}
