package org.bamboohatch.replication.storage;

import java.io.IOException;

/** Thrown when stored data cannot be trusted; nothing is overwritten. */
public final class CorruptDataException extends IOException {

    /**
     * Creates the exception.
     *
     * @param file name of the file
     * @param offset offset of the damage, in bytes
     * @param sentence what is wrong
     */
    public CorruptDataException(String file, long offset, String sentence) {
        super(file + " at offset " + offset + ": " + sentence);
    }
}
