package org.bamboohatch.replication.storage;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.zip.CRC32C;

/** Layout of the files: a header with the storage version, then records with length and checksum. */
final class RecordFormat {

    /** The storage version that this program writes. */
    static final int STORAGE_VERSION = 1;

    /** Begins each file. */
    private static final byte[] MAGIC = "BHATCH".getBytes(StandardCharsets.US_ASCII);

    /** Bytes of the header. */
    static final int HEADER_BYTES = MAGIC.length + Short.BYTES;

    /** Bytes in front of the content of each record. */
    static final int PREFIX_BYTES = 2 * Integer.BYTES;

    /** The largest record content, in bytes. */
    private static final int MAX_CONTENT_BYTES = 256 * 1024 * 1024;

    /** Not instantiated. */
    private RecordFormat() {}

    /**
     * Makes the header of a file.
     *
     * @return the header
     */
    static byte[] header() {
        return ByteBuffer.allocate(HEADER_BYTES)
                .put(MAGIC)
                .putShort((short) STORAGE_VERSION)
                .array();
    }

    /**
     * Checks the header of a file.
     *
     * @param file name of the file
     * @param content its content
     * @throws CorruptDataException if the header is not one that this program can read
     */
    static void checkHeader(String file, byte[] content) throws CorruptDataException {
        if (content.length < HEADER_BYTES || !Arrays.equals(content, 0, MAGIC.length, MAGIC, 0, MAGIC.length)) {
            throw new CorruptDataException(file, 0, "no bamboohatch header");
        }
        int version = ByteBuffer.wrap(content).getShort(MAGIC.length);
        if (version > STORAGE_VERSION) {
            throw new CorruptDataException(
                    file,
                    MAGIC.length,
                    "storage version " + version + " is newer than " + STORAGE_VERSION
                            + ", use the program that wrote it");
        }
    }

    /**
     * Makes a record.
     *
     * @param content its content
     * @return prefix and content
     */
    static byte[] record(byte[] content) {
        return ByteBuffer.allocate(PREFIX_BYTES + content.length)
                .putInt(content.length)
                .putInt(checksum(content))
                .put(content)
                .array();
    }

    /**
     * Reads a record.
     *
     * @param file content of the file
     * @param offset offset of the record
     * @return its content, or null if there is no intact record
     */
    static byte[] contentAt(byte[] file, int offset) {
        if (offset + PREFIX_BYTES > file.length) {
            return null;
        }
        ByteBuffer buffer = ByteBuffer.wrap(file);
        int length = buffer.getInt(offset);
        if (length <= 0 || length > MAX_CONTENT_BYTES || length > file.length - offset - PREFIX_BYTES) {
            return null;
        }
        byte[] content = Arrays.copyOfRange(file, offset + PREFIX_BYTES, offset + PREFIX_BYTES + length);
        return checksum(content) == buffer.getInt(offset + Integer.BYTES) ? content : null;
    }

    /**
     * Looks for an intact record behind a damaged one.
     *
     * @param file content of the file
     * @param damaged offset of the damaged record
     * @return whether an intact record follows, so that the damage is not a torn tail
     */
    static boolean hasIntactRecordAfter(byte[] file, int damaged) {
        for (int offset = damaged + 1; offset + PREFIX_BYTES < file.length; offset++) {
            if (contentAt(file, offset) != null) {
                return true;
            }
        }
        return false;
    }

    /**
     * Computes a checksum.
     *
     * @param content the content
     * @return its CRC-32C
     */
    private static int checksum(byte[] content) {
        CRC32C checksum = new CRC32C();
        checksum.update(content);
        return (int) checksum.getValue();
    }
}
