package org.bamboohatch.document;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

/** Hashes of API keys and request bodies. */
public final class Sha256 {

    /** Not instantiated. */
    private Sha256() {}

    /**
     * Hashes an API key.
     *
     * @param key the key
     * @return its SHA-256 hash in hexadecimal digits
     */
    public static String hash(String key) {
        return hash(key.getBytes(StandardCharsets.UTF_8));
    }

    /**
     * Hashes bytes.
     *
     * @param bytes the bytes
     * @return their SHA-256 hash in hexadecimal digits
     */
    public static String hash(byte[] bytes) {
        try {
            return HexFormat.of().formatHex(MessageDigest.getInstance("SHA-256").digest(bytes));
        } catch (NoSuchAlgorithmException impossible) {
            throw new IllegalStateException(impossible);
        }
    }

    /**
     * Compares two hashes in constant time.
     *
     * @param left one hash
     * @param right the other hash
     * @return whether they are equal
     */
    public static boolean constantTimeEquals(String left, String right) {
        return MessageDigest.isEqual(
                left.getBytes(StandardCharsets.US_ASCII), right.getBytes(StandardCharsets.US_ASCII));
    }
}
