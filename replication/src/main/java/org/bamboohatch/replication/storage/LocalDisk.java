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

/** The files of a local folder, which at most one process uses at a time. */
public final class LocalDisk implements Disk {

    /** File whose lock marks the process that owns the folder. */
    private static final String LOCK_FILE = "lock";

    /** Part of the message with which the operating system reports a full disk. */
    private static final String NO_SPACE_MESSAGE = "No space left";

    /** Suffix of files that are not written completely. */
    private static final String TEMPORARY_SUFFIX = ".tmp";

    private final Path folder;

    private final FileChannel lockChannel;

    private final Map<String, FileChannel> appendChannels = new HashMap<>();

    /**
     * Locks a folder and deletes incomplete files in it. The folder is created if it does not exist.
     *
     * @param folder the data folder
     * @throws IOException if the folder cannot be written or is in use by another process
     */
    public LocalDisk(Path folder) throws IOException {
        this.folder = Files.createDirectories(folder);
        this.lockChannel =
                FileChannel.open(folder.resolve(LOCK_FILE), StandardOpenOption.CREATE, StandardOpenOption.WRITE);
        if (!tryLock()) {
            lockChannel.close();
            throw new IOException("data folder " + folder + " is in use by another running process");
        }
        for (String name : list()) {
            if (name.endsWith(TEMPORARY_SUFFIX)) {
                delete(name);
            }
        }
    }

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
        Path temporary = folder.resolve(name + TEMPORARY_SUFFIX);
        try (FileChannel channel = FileChannel.open(
                temporary, StandardOpenOption.CREATE, StandardOpenOption.TRUNCATE_EXISTING, StandardOpenOption.WRITE)) {
            writeFully(channel, content);
            channel.force(true);
        } catch (IOException failed) {
            Files.deleteIfExists(temporary);
            throw translateFailure(name, failed);
        }
        Files.move(
                temporary, folder.resolve(name), StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
        syncFolder();
    }

    @Override
    public void append(String name, byte[] content) throws IOException {
        FileChannel channel = appendChannels.get(name);
        if (channel == null) {
            channel = FileChannel.open(folder.resolve(name), StandardOpenOption.CREATE, StandardOpenOption.APPEND);
            appendChannels.put(name, channel);
            syncFolder();
        }
        long previousSize = channel.size();
        try {
            writeFully(channel, content);
        } catch (IOException failed) {
            channel.truncate(previousSize);
            throw translateFailure(name, failed);
        }
    }

    /**
     * Converts the failure of a write to a {@link DiskFullException} if the disk is full.
     *
     * @param name the file name
     * @param failed the failure of the write
     * @return the exception to throw
     */
    private static IOException translateFailure(String name, IOException failed) {
        String message = String.valueOf(failed.getMessage());
        return message.contains(NO_SPACE_MESSAGE) ? new DiskFullException(name, failed) : failed;
    }

    @Override
    public void sync(String name) throws IOException {
        FileChannel channel = appendChannels.get(name);
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
        FileChannel channel = appendChannels.remove(name);
        if (channel != null) {
            channel.close();
        }
        Files.deleteIfExists(folder.resolve(name));
        syncFolder();
    }

    @Override
    public void close() throws IOException {
        for (FileChannel channel : appendChannels.values()) {
            channel.close();
        }
        appendChannels.clear();
        lockChannel.close();
    }

    private static void writeFully(FileChannel channel, byte[] content) throws IOException {
        ByteBuffer buffer = ByteBuffer.wrap(content);
        while (buffer.hasRemaining()) {
            channel.write(buffer);
        }
    }

    /**
     * Syncs the directory entries, so that created, renamed and deleted files survive a crash.
     *
     * @throws IOException if the folder cannot be synced
     */
    private void syncFolder() throws IOException {
        try (FileChannel channel = FileChannel.open(folder, StandardOpenOption.READ)) {
            channel.force(true);
        }
    }
}
