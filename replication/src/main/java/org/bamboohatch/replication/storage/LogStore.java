package org.bamboohatch.replication.storage;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.NavigableMap;
import java.util.TreeMap;
import java.util.function.Supplier;

import org.bamboohatch.kernel.id.HostName;
import org.bamboohatch.kernel.id.ReplicaId;
import org.bamboohatch.protocol.message.MessageCodec;
import org.bamboohatch.replication.consensus.HardState;
import org.bamboohatch.replication.message.LogEntry;
import org.bamboohatch.replication.message.Snapshot;

/** The durable state of one replica: identity, term and vote, snapshot and log segments. */
public final class LogStore {

    private static final String IDENTITY_FILE = "identity";

    private static final String STATE_FILE = "state";

    private static final String SNAPSHOT_FILE = "snapshot";

    /** Prefix of segment file names, followed by the index of the first entry. */
    private static final String SEGMENT_PREFIX = "log-";

    private static final String SEGMENT_FORMAT = SEGMENT_PREFIX + "%020d";

    /**
     * The identity of a replica.
     *
     * @param replica the generated identity
     * @param host the host to which the data folder belongs
     * @param foundingPeers the peers with which the replica may bootstrap a group, as of its first start; null if it may not
     */
    public record Identity(ReplicaId replica, HostName host, List<String> foundingPeers) {}

    /**
     * The complete stored state.
     *
     * @param identity the identity of the replica
     * @param state the term and vote
     * @param snapshot the latest snapshot
     * @param entries the entries of all log segments, which may overlap with the snapshot
     */
    public record StoredState(Identity identity, HardState state, Snapshot snapshot, List<LogEntry> entries) {}

    private final Disk disk;

    private final Supplier<ReplicaId> identitySupplier;

    /** Byte offsets of the entries in the last segment, by log index. */
    private final TreeMap<Long, Long> entryOffsets = new TreeMap<>();

    /** File names of the segments, by the index of their first entry. */
    private final NavigableMap<Long, String> segments = new TreeMap<>();

    /** Length of the last segment in bytes. */
    private long lastSegmentLength;

    /**
     * Creates a store that generates a random identity for an empty folder.
     *
     * @param disk the files of the data folder
     */
    public LogStore(Disk disk) {
        this(disk, ReplicaId::random);
    }

    /**
     * Creates a store for a data folder.
     *
     * @param disk the files of the data folder
     * @param identitySupplier generates the identity for an empty folder and never returns the same one twice
     */
    public LogStore(Disk disk, Supplier<ReplicaId> identitySupplier) {
        this.disk = disk;
        this.identitySupplier = identitySupplier;
    }

    /**
     * Loads the complete state of a replica that may not bootstrap a group. An incomplete record at the end of the last
     * segment is removed.
     *
     * @param host the host to which the folder must belong
     * @return the stored state, with a new identity if the folder is empty
     * @throws CorruptDataException if the data is corrupt or the folder belongs to another host
     * @throws IOException if the data cannot be read
     */
    public StoredState load(HostName host) throws IOException {
        return load(host, null);
    }

    /**
     * Loads the complete state. An incomplete record at the end of the last segment is removed.
     *
     * @param host the host to which the folder must belong
     * @param foundingPeers the peers that are recorded with a new identity; null if the replica may not bootstrap a group
     * @return the stored state, with a new identity if the folder is empty
     * @throws CorruptDataException if the data is corrupt or the folder belongs to another host
     * @throws IOException if the data cannot be read
     */
    public StoredState load(HostName host, List<String> foundingPeers) throws IOException {
        List<String> files = disk.list();
        Identity identity = loadIdentity(files, host, foundingPeers);
        HardState state =
                files.contains(STATE_FILE) ? readSingleRecord(STATE_FILE, HardState.class) : HardState.INITIAL;
        Snapshot snapshot =
                files.contains(SNAPSHOT_FILE) ? readSingleRecord(SNAPSHOT_FILE, Snapshot.class) : Snapshot.EMPTY;
        for (String file : files) {
            if (file.startsWith(SEGMENT_PREFIX)) {
                segments.put(Long.parseLong(file.substring(SEGMENT_PREFIX.length())), file);
            }
        }
        List<LogEntry> entries = new ArrayList<>();
        for (Map.Entry<Long, String> segment : segments.entrySet()) {
            boolean last = segment.getKey().equals(segments.lastKey());
            loadSegment(segment.getValue(), last, entries);
            // Data that a killed process wrote without syncing it can be read but is not durable yet.

            disk.sync(segment.getValue());
        }
        if (isSupersededBySnapshot(snapshot, entries)) {
            deleteSegments();
            entries.clear();
        }
        checkSequence(snapshot, entries);
        return new StoredState(identity, state, snapshot, entries);
    }

    /**
     * Loads the identity, or generates one for an empty folder.
     *
     * @param files the names of the files in the folder
     * @param host the host to which the folder must belong
     * @param foundingPeers the peers that are recorded with a new identity, or null
     * @return the identity of the replica
     * @throws IOException if the identity is missing although other files exist, or belongs to another host
     */
    private Identity loadIdentity(List<String> files, HostName host, List<String> foundingPeers) throws IOException {
        if (files.contains(IDENTITY_FILE)) {
            Identity identity = readSingleRecord(IDENTITY_FILE, Identity.class);
            if (!identity.host().equals(host)) {
                throw new CorruptDataException(IDENTITY_FILE, 0, "the data folder belongs to host " + identity.host());
            }
            return identity;
        }
        if (!files.isEmpty()) {
            throw new CorruptDataException(IDENTITY_FILE, 0, "the identity is missing although other data exists");
        }
        Identity identity = new Identity(identitySupplier.get(), host, foundingPeers);
        writeSingleRecord(IDENTITY_FILE, identity);
        return identity;
    }

    /**
     * Loads one segment. A damaged record is removed only if it is the tail of the last segment, which a crash during a
     * write can leave incomplete; any other damage is reported.
     *
     * @param file the name of the segment file
     * @param last whether this is the last segment
     * @param entries receives the entries
     * @throws IOException if the segment is damaged or cannot be read
     */
    private void loadSegment(String file, boolean last, List<LogEntry> entries) throws IOException {
        byte[] content = disk.read(file);
        RecordFormat.checkHeader(file, content);
        entryOffsets.clear();
        int offset = RecordFormat.HEADER_BYTES;
        while (offset < content.length) {
            byte[] record = RecordFormat.contentAt(content, offset);
            if (record == null) {
                if (!last || RecordFormat.hasIntactRecordAfter(content, offset)) {
                    throw new CorruptDataException(file, offset, "damaged record before the end of the log");
                }
                disk.truncate(file, offset);
                break;
            }
            LogEntry entry = MessageCodec.instance().decode(record, LogEntry.class);
            entries.add(entry);
            entryOffsets.put(entry.index(), (long) offset);
            offset += RecordFormat.PREFIX_BYTES + record.length;
        }
        lastSegmentLength = offset;
    }

    /**
     * Indicates whether the segments belong to a log that an installed snapshot has replaced. Such segments remain if
     * the process ends before they are deleted.
     *
     * @param snapshot the stored snapshot
     * @param entries the entries of all segments
     * @return {@code true} if the entries do not lead up to the snapshot
     */
    private static boolean isSupersededBySnapshot(Snapshot snapshot, List<LogEntry> entries) {
        if (entries.isEmpty() || entries.get(0).index() > snapshot.index()) {
            return false;
        }
        long position = snapshot.index() - entries.get(0).index();
        return position >= entries.size() || entries.get((int) position).term() != snapshot.term();
    }

    /**
     * Deletes all segments, the last one first. Segments that remain after a crash then still begin before the
     * snapshot, so that they are recognized as superseded.
     *
     * @throws IOException if a segment cannot be deleted
     */
    private void deleteSegments() throws IOException {
        while (!segments.isEmpty()) {
            disk.delete(segments.pollLastEntry().getValue());
        }
        entryOffsets.clear();
    }

    /**
     * Checks that no entry is missing between the snapshot and the last entry.
     *
     * @param snapshot the stored snapshot
     * @param entries the entries of all segments
     * @throws CorruptDataException if an entry is missing
     */
    private void checkSequence(Snapshot snapshot, List<LogEntry> entries) throws CorruptDataException {
        long expected = entries.isEmpty() ? 0 : entries.get(0).index();
        if (expected > snapshot.index() + 1) {
            throw new CorruptDataException(
                    segments.firstEntry().getValue(), 0, "entries after " + snapshot.index() + " are missing");
        }
        for (LogEntry entry : entries) {
            if (entry.index() != expected) {
                throw new CorruptDataException(
                        segments.floorEntry(entry.index()).getValue(), 0, "entry " + expected + " is missing");
            }
            expected++;
        }
    }

    /**
     * Makes a term and vote durable.
     *
     * @param state the term and vote
     * @throws IOException if the state cannot be written
     */
    public void saveState(HardState state) throws IOException {
        writeSingleRecord(STATE_FILE, state);
    }

    /**
     * Makes entries durable with a single sync.
     *
     * @param entries the entries that follow the last stored one
     * @throws DiskFullException if the disk is full; the append can be repeated
     * @throws IOException if the entries cannot be written
     */
    public void append(List<LogEntry> entries) throws IOException {
        if (entries.isEmpty()) {
            return;
        }
        ByteArrayOutputStream batch = new ByteArrayOutputStream();
        if (segments.isEmpty()) {
            createSegment(entries.get(0).index());
        }
        long previousLength = lastSegmentLength;
        for (LogEntry entry : entries) {
            entryOffsets.put(entry.index(), lastSegmentLength);
            byte[] record = RecordFormat.record(MessageCodec.instance().encode(entry));
            batch.writeBytes(record);
            lastSegmentLength += record.length;
        }
        String segment = segments.lastEntry().getValue();
        try {
            disk.append(segment, batch.toByteArray());
        } catch (DiskFullException full) {
            entryOffsets.tailMap(entries.get(0).index(), true).clear();
            lastSegmentLength = previousLength;
            throw full;
        }
        disk.sync(segment);
    }

    /**
     * Creates an empty segment. Its header is durable before any entry is appended, so that a crash can leave only
     * entries incomplete.
     *
     * @param firstIndex the index of the segment's first entry
     * @throws IOException if the segment cannot be created
     */
    private void createSegment(long firstIndex) throws IOException {
        String segment = String.format(SEGMENT_FORMAT, firstIndex);
        disk.replace(segment, RecordFormat.header());
        segments.put(firstIndex, segment);
        entryOffsets.clear();
        lastSegmentLength = RecordFormat.HEADER_BYTES;
    }

    /**
     * Removes entries that conflict with the log of a new leader.
     *
     * @param from the index of the first removed entry
     * @throws IOException if the entries cannot be removed
     */
    public void truncate(long from) throws IOException {
        while (!segments.isEmpty() && segments.lastKey() >= from) {
            disk.delete(segments.pollLastEntry().getValue());
            entryOffsets.clear();
        }
        if (segments.isEmpty()) {
            return;
        }
        String segment = segments.lastEntry().getValue();
        if (entryOffsets.isEmpty()) {
            loadSegment(segment, true, new ArrayList<>());
        }
        Long offset = entryOffsets.get(from);
        if (offset != null) {
            disk.truncate(segment, offset);
            lastSegmentLength = offset;
            entryOffsets.tailMap(from, true).clear();
        }
    }

    /**
     * Makes a snapshot durable, starts a new segment and deletes segments that are no longer needed.
     *
     * @param snapshot the snapshot of the applied entries
     * @param firstRetainedIndex the index of the first entry to retain
     * @param nextIndex the index of the next entry to be appended
     * @throws IOException if the snapshot or the segment cannot be written
     */
    public void compact(Snapshot snapshot, long firstRetainedIndex, long nextIndex) throws IOException {
        writeSingleRecord(SNAPSHOT_FILE, snapshot);
        if (!segments.isEmpty() && segments.lastKey() < nextIndex) {
            createSegment(nextIndex);
        }
        while (segments.size() > 1 && secondSegmentFirstIndex() <= firstRetainedIndex) {
            disk.delete(segments.pollFirstEntry().getValue());
        }
    }

    private long secondSegmentFirstIndex() {
        return segments.higherKey(segments.firstKey());
    }

    /**
     * Replaces the complete log with a snapshot.
     *
     * @param snapshot the snapshot to install
     * @throws IOException if the snapshot cannot be written
     */
    public void install(Snapshot snapshot) throws IOException {
        writeSingleRecord(SNAPSHOT_FILE, snapshot);
        deleteSegments();
    }

    private <T> T readSingleRecord(String file, Class<T> type) throws IOException {
        byte[] content = disk.read(file);
        RecordFormat.checkHeader(file, content);
        byte[] record = RecordFormat.contentAt(content, RecordFormat.HEADER_BYTES);
        if (record == null) {
            throw new CorruptDataException(file, RecordFormat.HEADER_BYTES, "damaged record");
        }
        return MessageCodec.instance().decode(record, type);
    }

    private void writeSingleRecord(String file, Object value) throws IOException {
        ByteArrayOutputStream content = new ByteArrayOutputStream();
        content.writeBytes(RecordFormat.header());
        content.writeBytes(RecordFormat.record(MessageCodec.instance().encode(value)));
        disk.replace(file, content.toByteArray());
    }
}
