package org.bamboohatch.control.state;

import java.util.Arrays;

import org.bamboohatch.kernel.service.Invariant;

/**
 * Marks snapshots with content that processes of an earlier version would drop silently, as they ignore unknown fields.
 * The mark is part of the content and not of the file, because a leader also sends snapshots to followers of an earlier
 * version. Snapshots without such content have no mark, so that earlier versions can read them.
 */
final class SnapshotFormat {

    /** Byte that begins no MessagePack value, so that earlier versions refuse a marked snapshot as malformed. */
    private static final byte MARK = (byte) 0xC1;

    /** Format of snapshots with evacuated zones; the highest that this version reads. */
    private static final byte EVACUATIONS = 2;

    private static final int MARK_BYTES = 2;

    private SnapshotFormat() {}

    /**
     * Marks a snapshot as one with evacuated zones.
     *
     * @param encoded the encoded state
     * @return the mark, followed by the state
     */
    static byte[] mark(byte[] encoded) {
        byte[] marked = new byte[MARK_BYTES + encoded.length];
        marked[0] = MARK;
        marked[1] = EVACUATIONS;
        System.arraycopy(encoded, 0, marked, MARK_BYTES, encoded.length);
        return marked;
    }

    /**
     * Removes the mark of a snapshot.
     *
     * @param snapshot a snapshot with or without a mark
     * @return the encoded state
     * @throws Invariant.Violation if the snapshot has the mark of a later version
     */
    static byte[] unmark(byte[] snapshot) {
        if (snapshot.length < MARK_BYTES || snapshot[0] != MARK) {
            return snapshot;
        }
        if (snapshot[1] != EVACUATIONS) {
            throw new Invariant.Violation("snapshot format " + snapshot[1] + " is newer than " + EVACUATIONS
                    + ", use the release that wrote it");
        }
        return Arrays.copyOfRange(snapshot, MARK_BYTES, snapshot.length);
    }
}
