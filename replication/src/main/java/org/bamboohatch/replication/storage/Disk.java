package org.bamboohatch.replication.storage;

import java.io.IOException;
import java.util.List;

/** The files of one data folder. What is written lasts only once it is synced. */
public interface Disk extends AutoCloseable {

    /**
     * Lists the files.
     *
     * @return their names in alphabetical order
     * @throws IOException if the folder cannot be read
     */
    List<String> list() throws IOException;

    /**
     * Reads a file.
     *
     * @param name its name
     * @return its content
     * @throws IOException if it cannot be read
     */
    byte[] read(String name) throws IOException;

    /**
     * Writes a file whole and syncs it; after a crash either the old or the new content is there.
     *
     * @param name its name
     * @param content its content
     * @throws IOException if it cannot be written
     */
    void replace(String name, byte[] content) throws IOException;

    /**
     * Appends to a file, which is created if it does not exist; nothing is synced.
     *
     * @param name its name
     * @param content what to append
     * @throws IOException if it cannot be written
     */
    void append(String name, byte[] content) throws IOException;

    /**
     * Syncs a file and its entry in the folder.
     *
     * @param name its name
     * @throws IOException if the file cannot be synced; what was written since the last sync may be lost
     */
    void sync(String name) throws IOException;

    /**
     * Cuts a file to a length and syncs it.
     *
     * @param name its name
     * @param length the length, in bytes
     * @throws IOException if it cannot be cut
     */
    void truncate(String name, long length) throws IOException;

    /**
     * Deletes a file.
     *
     * @param name its name
     * @throws IOException if it cannot be deleted
     */
    void delete(String name) throws IOException;

    @Override
    void close() throws IOException;
}
