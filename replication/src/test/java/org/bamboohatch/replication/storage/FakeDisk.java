package org.bamboohatch.replication.storage;

import java.io.IOException;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.random.RandomGenerator;

/** An in-memory disk that loses unsynced data in a crash and can be set to crash at a later operation. */
public final class FakeDisk implements Disk {

    /** Whether writes fail because the disk is full. */
    public boolean full;

    /** Thrown by operations once the disk has crashed. */
    public static final class CrashException extends IOException {
        CrashException() {
            super("crash");
        }
    }

    /** Current content of the files, by name. */
    private final Map<String, byte[]> written = new TreeMap<>();

    /** Content of the files that survives a crash, by name. */
    private final Map<String, byte[]> synced = new TreeMap<>();

    /** Operations until the next crash, or negative for no crash. */
    private int operationsUntilCrash = -1;

    /** Whether syncs have no effect, to show that the simulations detect it. */
    private boolean ignoresSync;

    /** Makes the disk crash after a number of further operations; a negative number cancels the crash. */
    public void crashAfter(int operations) {
        operationsUntilCrash = operations;
    }

    /** Makes syncs have no effect. */
    public void ignoreSync() {
        ignoresSync = true;
    }

    /**
     * Simulates a crash: unsynced data is lost except for a prefix of random length, whose last byte may be corrupted.
     */
    public void crash(RandomGenerator random) {
        operationsUntilCrash = -1;
        for (Map.Entry<String, byte[]> file : written.entrySet()) {
            byte[] durable = synced.getOrDefault(file.getKey(), new byte[0]);
            byte[] content = file.getValue();
            int unsyncedBytes =
                    content.length > durable.length ? random.nextInt(content.length - durable.length + 1) : 0;
            byte[] surviving = Arrays.copyOf(content, Math.min(content.length, durable.length + unsyncedBytes));
            if (unsyncedBytes > 0 && random.nextBoolean()) {
                surviving[surviving.length - 1] ^= 0x5a;
            }
            file.setValue(surviving);
        }
        synced.clear();
        written.forEach((name, content) -> synced.put(name, content.clone()));
    }

    /** Flips the lowest bit of a byte. */
    public void damage(String name, int offset) {
        written.get(name)[offset] ^= 1;
    }

    private void countOperation() throws CrashException {
        if (operationsUntilCrash == 0) {
            throw new CrashException();
        }
        operationsUntilCrash--;
    }

    @Override
    public List<String> list() {
        return List.copyOf(written.keySet());
    }

    @Override
    public byte[] read(String name) {
        return written.get(name).clone();
    }

    @Override
    public void replace(String name, byte[] content) throws IOException {
        checkNotFull(name);
        countOperation();
        written.put(name, content.clone());
        if (!ignoresSync) {
            synced.put(name, content.clone());
        }
        countOperation();
    }

    @Override
    public void append(String name, byte[] content) throws IOException {
        checkNotFull(name);
        countOperation();
        byte[] previous = written.getOrDefault(name, new byte[0]);
        byte[] extended = Arrays.copyOf(previous, previous.length + content.length);
        System.arraycopy(content, 0, extended, previous.length, content.length);
        written.put(name, extended);
        countOperation();
    }

    @Override
    public void sync(String name) throws IOException {
        countOperation();
        if (!ignoresSync) {
            synced.put(name, written.get(name).clone());
        }
    }

    @Override
    public void truncate(String name, long length) throws IOException {
        countOperation();
        written.put(name, Arrays.copyOf(written.get(name), (int) length));
        if (!ignoresSync) {
            synced.put(name, written.get(name).clone());
        }
    }

    @Override
    public void delete(String name) throws IOException {
        countOperation();
        written.remove(name);
        synced.remove(name);
    }

    @Override
    public void close() {
        // Holds no resources.
    }

    private void checkNotFull(String name) throws DiskFullException {
        if (full) {
            throw new DiskFullException(name, new IOException("No space left on device"));
        }
    }
}
