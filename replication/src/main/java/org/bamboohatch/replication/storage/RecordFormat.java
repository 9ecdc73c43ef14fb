package org.bamboohatch.replication.storage;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.zip.CRC32C;

/** File layout: a header with the storage version, followed by records that consist of length, checksum and content. */
final class RecordFormat {

    /** Storage version that this release writes. */
    static final int STORAGE_VERSION = 1;

    /** First bytes of each file. */
    private static final byte[] MAGIC = "BHATCH".getBytes(StandardCharsets.US_ASCII);

    static final int HEADER_BYTES = MAGIC.length + Short.BYTES;

    /** Size of the length and the checksum that precede the content of a record, in bytes. */
    static final int PREFIX_BYTES = 2 * Integer.BYTES;

    /** Maximum content size of a record, in bytes. A larger length is treated as damage. */
    private static final int MAX_CONTENT_BYTES = 256 * 1024 * 1024;

    private RecordFormat() {}

    static byte[] header() {
        return ByteBuffer.allocate(HEADER_BYTES)
                .put(MAGIC)
                .putShort((short) STORAGE_VERSION)
                .array();
    }

    /**
     * Validates the header of a file.
     *
     * @param file the name of the file
     * @param content the content of the file
     * @throws CorruptDataException if the header is missing or its storage version is newer than {@link
     * #STORAGE_VERSION}
     */
    static void checkHeader(String file, byte[] content) throws CorruptDataException {
        if (content.length < HEADER_BYTES || !Arrays.equals(content, 0, MAGIC.length, MAGIC, 0, MAGIC.length)) {
            throw new CorruptDataException(file, 0, "the bamboohatch file header is missing");
        }
        int version = ByteBuffer.wrap(content).getShort(MAGIC.length);
        if (version > STORAGE_VERSION) {
            throw new CorruptDataException(
                    file,
                    MAGIC.length,
                    "storage version " + version + " is newer than " + STORAGE_VERSION
                            + ", use the release that wrote it");
        }
    }

    static byte[] record(byte[] content) {
        return ByteBuffer.allocate(PREFIX_BYTES + content.length)
                .putInt(content.length)
                .putInt(checksum(content))
                .put(content)
                .array();
    }

    /**
     * Decodes the record at an offset.
     *
     * @param file the content of the file
     * @param offset the offset of the record in bytes
     * @return the content of the record, or {@code null} if the record is incomplete or damaged
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
     * Searches for an intact record after a damaged one. Damage that an intact record follows is not the incomplete end
     * of an interrupted write.
     *
     * @param file the content of the file
     * @param damagedOffset the offset of the damaged record in bytes
     * @return {@code true} if an intact record follows
     */
    static boolean hasIntactRecordAfter(byte[] file, int damagedOffset) {
        for (int offset = damagedOffset + 1; offset + PREFIX_BYTES < file.length; offset++) {
            if (contentAt(file, offset) != null) {
                return true;
            }
        }
        return false;
    }

    /**
     * Returns the CRC-32C checksum of a record's content.
     *
     * @param content the content of the record
     * @return the checksum
     */
    private static int checksum(byte[] content) {
        CRC32C checksum = new CRC32C();
        checksum.update(content);
        return (int) checksum.getValue();
    }
}
