package org.bamboohatch.replication.storage;

import java.io.IOException;
import java.util.List;

/** The files of one data folder. Written data is durable only once it is synced. */
public interface Disk extends AutoCloseable {

    /**
     * Lists the files of the folder.
     *
     * @return the file names in alphabetical order
     * @throws IOException if the folder cannot be read
     */
    List<String> list() throws IOException;

    /**
     * Reads a file.
     *
     * @param name the file name
     * @return the complete content of the file
     * @throws IOException if the file cannot be read
     */
    byte[] read(String name) throws IOException;

    /**
     * Replaces the content of a file atomically and syncs it. After a crash, the file has either its old or its new
     * content.
     *
     * @param name the file name
     * @param content the new content
     * @throws IOException if the file cannot be written
     */
    void replace(String name, byte[] content) throws IOException;

    /**
     * Appends to a file without syncing it. The file is created if it does not exist.
     *
     * @param name the file name
     * @param content the bytes to append
     * @throws DiskFullException if the disk is full; the file is unchanged then
     * @throws IOException if the file cannot be written
     */
    void append(String name, byte[] content) throws IOException;

    /**
     * Syncs the content of a file and its directory entry.
     *
     * @param name the file name
     * @throws IOException if the file cannot be synced; data written since the last sync may be lost
     */
    void sync(String name) throws IOException;

    /**
     * Truncates a file and syncs it.
     *
     * @param name the file name
     * @param length the new length in bytes
     * @throws IOException if the file cannot be truncated
     */
    void truncate(String name, long length) throws IOException;

    /**
     * Deletes a file if it exists.
     *
     * @param name the file name
     * @throws IOException if the file cannot be deleted
     */
    void delete(String name) throws IOException;

    @Override
    void close() throws IOException;
}
