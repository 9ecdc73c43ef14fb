package org.bamboohatch.replication.storage;

import java.io.IOException;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.random.RandomGenerator;

/** A disk in memory that loses what was not synced when it crashes, and can be told to crash at any operation. */
public final class FakeDisk implements Disk {

    /** Whether writes are refused. */
    public boolean full;

    /** Thrown when the disk has crashed. */
    public static final class CrashException extends IOException {
        /** Creates the exception. */
        CrashException() {
            super("crash");
        }
    }

    /** What would be read now. */
    private final Map<String, byte[]> written = new TreeMap<>();

    /** What surely survives a crash. */
    private final Map<String, byte[]> synced = new TreeMap<>();

    /** Operations until the crash, negative for none. */
    private int operationsLeft = -1;

    /** Whether every sync is left out, for showing that the proofs notice it. */
    private boolean ignoresSync;

    /** Tells the disk to crash at one of the next operations. */
    public void crashAfter(int operations) {
        operationsLeft = operations;
    }

    /** Tells the disk to leave out syncs. */
    public void ignoreSync() {
        ignoresSync = true;
    }

    /** Loses what was not synced, except for a random beginning of it that may be garbled at its end. */
    public void crash(RandomGenerator random) {
        operationsLeft = -1;
        for (Map.Entry<String, byte[]> file : written.entrySet()) {
            byte[] sure = synced.getOrDefault(file.getKey(), new byte[0]);
            byte[] all = file.getValue();
            int extra = all.length > sure.length ? random.nextInt(all.length - sure.length + 1) : 0;
            byte[] left = Arrays.copyOf(all, Math.min(all.length, sure.length + extra));
            if (extra > 0 && random.nextBoolean()) {
                left[left.length - 1] ^= 0x5a;
            }
            file.setValue(left);
        }
        synced.clear();
        written.forEach((name, content) -> synced.put(name, content.clone()));
    }

    /** Flips a bit. */
    public void damage(String name, int offset) {
        written.get(name)[offset] ^= 1;
    }

    private void operate() throws CrashException {
        if (operationsLeft == 0) {
            throw new CrashException();
        }
        operationsLeft--;
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
        checkRoom(name);
        operate();
        written.put(name, content.clone());
        if (!ignoresSync) {
            synced.put(name, content.clone());
        }
        operate();
    }

    @Override
    public void append(String name, byte[] content) throws IOException {
        checkRoom(name);
        operate();
        byte[] old = written.getOrDefault(name, new byte[0]);
        byte[] joined = Arrays.copyOf(old, old.length + content.length);
        System.arraycopy(content, 0, joined, old.length, content.length);
        written.put(name, joined);
        operate();
    }

    @Override
    public void sync(String name) throws IOException {
        operate();
        if (!ignoresSync) {
            synced.put(name, written.get(name).clone());
        }
    }

    @Override
    public void truncate(String name, long length) throws IOException {
        operate();
        written.put(name, Arrays.copyOf(written.get(name), (int) length));
        if (!ignoresSync) {
            synced.put(name, written.get(name).clone());
        }
    }

    @Override
    public void delete(String name) throws IOException {
        operate();
        written.remove(name);
        synced.remove(name);
    }

    @Override
    public void close() {
        // Nothing is held.
    }

    /** Refuses every write while the disk is full. */
    private void checkRoom(String name) throws DiskFullException {
        if (full) {
            throw new DiskFullException(name, new IOException("No space left on device"));
        }
    }
}
