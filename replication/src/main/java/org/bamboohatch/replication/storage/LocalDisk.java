package org.bamboohatch.replication.storage;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.channels.FileLock;
import java.nio.channels.OverlappingFileLockException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;

/** The files of a folder that one process owns at a time. */
public final class LocalDisk implements Disk {

    /** Name of the file whose lock marks the owner. */
    private static final String LOCK_FILE = "lock";

    /** What the system says of a full disk. */
    private static final String NO_SPACE = "No space left";

    /** Ending of files that are not complete. */
    private static final String TEMPORARY = ".tmp";

    /** The folder. */
    private final Path folder;

    /** The locked file. */
    private final FileChannel lockChannel;

    /** Files open for appending. */
    private final Map<String, FileChannel> open = new HashMap<>();

    /**
     * Takes a folder; it is created if it does not exist.
     *
     * @param folder the folder
     * @throws IOException if the folder cannot be written or belongs to another process
     */
    public LocalDisk(Path folder) throws IOException {
        this.folder = Files.createDirectories(folder);
        this.lockChannel =
                FileChannel.open(folder.resolve(LOCK_FILE), StandardOpenOption.CREATE, StandardOpenOption.WRITE);
        if (!tryLock()) {
            lockChannel.close();
            throw new IOException("data folder " + folder + " belongs to another running process");
        }
        for (String name : list()) {
            if (name.endsWith(TEMPORARY)) {
                delete(name);
            }
        }
    }

    /**
     * Tries to lock the folder.
     *
     * @return whether this process owns it
     * @throws IOException if the lock file cannot be used
     */
    private boolean tryLock() throws IOException {
        try {
            FileLock lock = lockChannel.tryLock();
            return lock != null;
        } catch (OverlappingFileLockException ownedHere) {
            return false;
        }
    }

    @Override
    public List<String> list() throws IOException {
        try (Stream<Path> files = Files.list(folder)) {
            return files.map(file -> file.getFileName().toString())
                    .filter(name -> !name.equals(LOCK_FILE))
                    .sorted()
                    .toList();
        }
    }

    @Override
    public byte[] read(String name) throws IOException {
        return Files.readAllBytes(folder.resolve(name));
    }

    @Override
    public void replace(String name, byte[] content) throws IOException {
        Path temporary = folder.resolve(name + TEMPORARY);
        try (FileChannel channel = FileChannel.open(
                temporary, StandardOpenOption.CREATE, StandardOpenOption.TRUNCATE_EXISTING, StandardOpenOption.WRITE)) {
            writeFully(channel, content);
            channel.force(true);
        } catch (IOException failed) {
            Files.deleteIfExists(temporary);
            throw explain(name, failed);
        }
        Files.move(
                temporary, folder.resolve(name), StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
        syncFolder();
    }

    @Override
    public void append(String name, byte[] content) throws IOException {
        FileChannel channel = open.get(name);
        if (channel == null) {
            channel = FileChannel.open(folder.resolve(name), StandardOpenOption.CREATE, StandardOpenOption.APPEND);
            open.put(name, channel);
            syncFolder();
        }
        long before = channel.size();
        try {
            writeFully(channel, content);
        } catch (IOException failed) {
            channel.truncate(before);
            throw explain(name, failed);
        }
    }

    /**
     * Tells a full disk from other failures.
     *
     * @param name name of the file
     * @param failed the failure of a write
     * @return the failure to throw
     */
    private static IOException explain(String name, IOException failed) {
        String message = String.valueOf(failed.getMessage());
        return message.contains(NO_SPACE) ? new DiskFullException(name, failed) : failed;
    }

    @Override
    public void sync(String name) throws IOException {
        FileChannel channel = open.get(name);
        if (channel != null) {
            channel.force(false);
            return;
        }
        try (FileChannel unopened = FileChannel.open(folder.resolve(name), StandardOpenOption.WRITE)) {
            unopened.force(true);
        }
    }

    @Override
    public void truncate(String name, long length) throws IOException {
        try (FileChannel channel = FileChannel.open(folder.resolve(name), StandardOpenOption.WRITE)) {
            channel.truncate(length);
            channel.force(true);
        }
    }

    @Override
    public void delete(String name) throws IOException {
        FileChannel channel = open.remove(name);
        if (channel != null) {
            channel.close();
        }
        Files.deleteIfExists(folder.resolve(name));
        syncFolder();
    }

    @Override
    public void close() throws IOException {
        for (FileChannel channel : open.values()) {
            channel.close();
        }
        open.clear();
        lockChannel.close();
    }

    /**
     * Writes everything.
     *
     * @param channel the file
     * @param content what to write
     * @throws IOException if it cannot be written
     */
    private static void writeFully(FileChannel channel, byte[] content) throws IOException {
        ByteBuffer buffer = ByteBuffer.wrap(content);
        while (buffer.hasRemaining()) {
            channel.write(buffer);
        }
    }

    /**
     * Syncs the entries of the folder.
     *
     * @throws IOException if they cannot be synced
     */
    private void syncFolder() throws IOException {
        try (FileChannel channel = FileChannel.open(folder, StandardOpenOption.READ)) {
            channel.force(true);
        }
    }
}
