package org.bamboohatch.replication.storage;

import java.io.IOException;

/**
 * Thrown when a write fails because the disk is full. No part of the write is left behind, so that it can be repeated.
 */
public final class DiskFullException extends IOException {

    private static final long serialVersionUID = 1;

    /**
     * Creates an exception for a file.
     *
     * @param file the name of the file
     * @param cause the failure that the operating system reported
     */
    public DiskFullException(String file, IOException cause) {
        super("no room to write " + file, cause);
    }
}
