package org.bamboohatch.replication.storage;

import java.io.IOException;

/** Thrown when stored data is corrupt or must not be used by this process. The data is not overwritten. */
public final class CorruptDataException extends IOException {

    /**
     * Creates an exception for a position in a file.
     *
     * @param file the name of the file
     * @param offset the offset of the problem in bytes
     * @param description the problem that was found
     */
    public CorruptDataException(String file, long offset, String description) {
        super(file + " at offset " + offset + ": " + description);
    }
}
