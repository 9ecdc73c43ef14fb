package org.bamboohatch.replication.storage;

import java.io.IOException;

/** Thrown when a disk has no room for a write; nothing of the write is left, so that it may be tried again. */
public final class DiskFullException extends IOException {

    /** Version of the serialized form. */
    private static final long serialVersionUID = 1;

    /**
     * Creates the exception.
     *
     * @param file name of the file
     * @param cause what the system said
     */
    public DiskFullException(String file, IOException cause) {
        super("no room to write " + file, cause);
    }
}
