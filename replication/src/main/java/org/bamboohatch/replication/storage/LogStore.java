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

/** The durable state of one replica: identity, election state, snapshot and log segments. */
public final class LogStore {

    /** File with the identity. */
    private static final String IDENTITY_FILE = "identity";

    /** File with the election state. */
    private static final String STATE_FILE = "state";

    /** File with the last snapshot. */
    private static final String SNAPSHOT_FILE = "snapshot";

    /** Beginning of the names of log segments; the index of the first entry follows. */
    private static final String SEGMENT_PREFIX = "log-";

    /** Digits of the index in the name of a segment. */
    private static final String SEGMENT_FORMAT = SEGMENT_PREFIX + "%020d";

    /**
     * Identity of a replica.
     *
     * @param replica the identity
     * @param host the host that the folder belongs to
     */
    public record Identity(ReplicaId replica, HostName host) {}

    /**
     * What was stored.
     *
     * @param identity identity of the replica
     * @param state the election state
     * @param snapshot the last snapshot
     * @param entries the entries in the segments
     */
    public record StoredState(Identity identity, HardState state, Snapshot snapshot, List<LogEntry> entries) {}

    /** The files. */
    private final Disk disk;

    /** Makes the identity of a new folder. */
    private final Supplier<ReplicaId> identities;

    /** Offsets of the entries in the last segment by index. */
    private final TreeMap<Long, Long> offsets = new TreeMap<>();

    /** First index of each segment. */
    private final NavigableMap<Long, String> segments = new TreeMap<>();

    /** Length of the last segment, in bytes. */
    private long length;

    /**
     * Creates a store.
     *
     * @param disk the files
     */
    public LogStore(Disk disk) {
        this(disk, ReplicaId::random);
    }

    /**
     * Creates a store.
     *
     * @param disk the files
     * @param identities makes the identity of a new folder, never the same twice
     */
    public LogStore(Disk disk, Supplier<ReplicaId> identities) {
        this.disk = disk;
        this.identities = identities;
    }

    /**
     * Loads everything; a torn tail of the last segment is cut.
     *
     * @param host the host that the folder must belong to
     * @return what was stored; a new identity is made in an empty folder
     * @throws IOException if the data cannot be read or trusted
     */
    public StoredState load(HostName host) throws IOException {
        List<String> files = disk.list();
        Identity identity = loadIdentity(files, host);
        HardState state = files.contains(STATE_FILE) ? readSingle(STATE_FILE, HardState.class) : HardState.INITIAL;
        Snapshot snapshot = files.contains(SNAPSHOT_FILE) ? readSingle(SNAPSHOT_FILE, Snapshot.class) : Snapshot.EMPTY;
        for (String file : files) {
            if (file.startsWith(SEGMENT_PREFIX)) {
                segments.put(Long.parseLong(file.substring(SEGMENT_PREFIX.length())), file);
            }
        }
        List<LogEntry> entries = new ArrayList<>();
        for (Map.Entry<Long, String> segment : segments.entrySet()) {
            boolean last = segment.getKey().equals(segments.lastKey());
            loadSegment(segment.getValue(), last, entries);
            // A process that was killed between a write and its sync left the write readable, not durable.
            disk.sync(segment.getValue());
        }
        if (isReplaced(snapshot, entries)) {
            deleteSegments();
            entries.clear();
        }
        checkSequence(snapshot, entries);
        return new StoredState(identity, state, snapshot, entries);
    }

    /**
     * Loads the identity or makes a new one.
     *
     * @param files the files in the folder
     * @param host the host that the folder must belong to
     * @return the identity
     * @throws IOException if the identity is missing beside other data or belongs to another host
     */
    private Identity loadIdentity(List<String> files, HostName host) throws IOException {
        if (files.contains(IDENTITY_FILE)) {
            Identity identity = readSingle(IDENTITY_FILE, Identity.class);
            if (!identity.host().equals(host)) {
                throw new CorruptDataException(IDENTITY_FILE, 0, "the folder belongs to host " + identity.host());
            }
            return identity;
        }
        if (!files.isEmpty()) {
            throw new CorruptDataException(IDENTITY_FILE, 0, "the identity is missing beside other data");
        }
        Identity identity = new Identity(identities.get(), host);
        writeSingle(IDENTITY_FILE, identity);
        return identity;
    }

    /**
     * Loads one segment.
     *
     * @param file name of the segment
     * @param last whether it is the last segment, whose tail may be torn
     * @param entries receives the entries
     * @throws IOException if the segment is damaged
     */
    private void loadSegment(String file, boolean last, List<LogEntry> entries) throws IOException {
        byte[] content = disk.read(file);
        RecordFormat.checkHeader(file, content);
        offsets.clear();
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
            offsets.put(entry.index(), (long) offset);
            offset += RecordFormat.PREFIX_BYTES + record.length;
        }
        length = offset;
    }

    /**
     * Tells whether the segments are left over from a log that an installed snapshot has replaced, because the
     * process ended before they were deleted.
     *
     * @param snapshot the snapshot
     * @param entries the entries in the segments
     * @return whether the entries do not lead up to the snapshot
     */
    private static boolean isReplaced(Snapshot snapshot, List<LogEntry> entries) {
        if (entries.isEmpty() || entries.get(0).index() > snapshot.index()) {
            return false;
        }
        long position = snapshot.index() - entries.get(0).index();
        return position >= entries.size() || entries.get((int) position).term() != snapshot.term();
    }

    /**
     * Deletes every segment, the last one first.
     *
     * @throws IOException if a segment cannot be deleted
     */
    private void deleteSegments() throws IOException {
        while (!segments.isEmpty()) {
            disk.delete(segments.pollLastEntry().getValue());
        }
        offsets.clear();
    }

    /**
     * Checks that the entries follow each other and the snapshot.
     *
     * @param snapshot the snapshot
     * @param entries the entries
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
     * Makes the election state durable.
     *
     * @param state the state
     * @throws IOException if it cannot be written
     */
    public void saveState(HardState state) throws IOException {
        writeSingle(STATE_FILE, state);
    }

    /**
     * Makes entries durable with one sync.
     *
     * @param entries entries that follow the last one
     * @throws IOException if they cannot be written
     */
    public void append(List<LogEntry> entries) throws IOException {
        if (entries.isEmpty()) {
            return;
        }
        ByteArrayOutputStream batch = new ByteArrayOutputStream();
        if (segments.isEmpty()) {
            beginSegment(entries.get(0).index());
        }
        long before = length;
        for (LogEntry entry : entries) {
            offsets.put(entry.index(), length);
            byte[] record = RecordFormat.record(MessageCodec.instance().encode(entry));
            batch.writeBytes(record);
            length += record.length;
        }
        String segment = segments.lastEntry().getValue();
        try {
            disk.append(segment, batch.toByteArray());
        } catch (DiskFullException full) {
            offsets.tailMap(entries.get(0).index(), true).clear();
            length = before;
            throw full;
        }
        disk.sync(segment);
    }

    /**
     * Begins a segment; its header is durable before any entry follows, so that only entries can be torn.
     *
     * @param firstIndex index of its first entry
     * @throws IOException if it cannot be written
     */
    private void beginSegment(long firstIndex) throws IOException {
        String segment = String.format(SEGMENT_FORMAT, firstIndex);
        disk.replace(segment, RecordFormat.header());
        segments.put(firstIndex, segment);
        offsets.clear();
        length = RecordFormat.HEADER_BYTES;
    }

    /**
     * Drops entries that another leader has replaced.
     *
     * @param from index of the first dropped entry
     * @throws IOException if they cannot be dropped
     */
    public void truncate(long from) throws IOException {
        while (!segments.isEmpty() && segments.lastKey() >= from) {
            disk.delete(segments.pollLastEntry().getValue());
            offsets.clear();
        }
        if (segments.isEmpty()) {
            return;
        }
        String segment = segments.lastEntry().getValue();
        if (offsets.isEmpty()) {
            loadSegment(segment, true, new ArrayList<>());
        }
        Long offset = offsets.get(from);
        if (offset != null) {
            disk.truncate(segment, offset);
            length = offset;
            offsets.tailMap(from, true).clear();
        }
    }

    /**
     * Makes a snapshot durable and deletes segments that are no longer needed; entries go on in a new segment.
     *
     * @param snapshot the snapshot
     * @param firstKept index of the first entry to keep
     * @param nextIndex index of the next entry to be appended
     * @throws IOException if it cannot be written
     */
    public void compact(Snapshot snapshot, long firstKept, long nextIndex) throws IOException {
        writeSingle(SNAPSHOT_FILE, snapshot);
        if (!segments.isEmpty() && segments.lastKey() < nextIndex) {
            beginSegment(nextIndex);
        }
        while (segments.size() > 1 && secondSegment() <= firstKept) {
            disk.delete(segments.pollFirstEntry().getValue());
        }
    }

    /**
     * Returns the first index of the second segment.
     *
     * @return the index
     */
    private long secondSegment() {
        return segments.higherKey(segments.firstKey());
    }

    /**
     * Replaces the whole log by a snapshot.
     *
     * @param snapshot the snapshot
     * @throws IOException if it cannot be written
     */
    public void install(Snapshot snapshot) throws IOException {
        writeSingle(SNAPSHOT_FILE, snapshot);
        deleteSegments();
    }

    /**
     * Reads a file with a single record.
     *
     * @param file its name
     * @param type the type of the record
     * @param <T> the type of the record
     * @return the record
     * @throws IOException if the file is damaged
     */
    private <T> T readSingle(String file, Class<T> type) throws IOException {
        byte[] content = disk.read(file);
        RecordFormat.checkHeader(file, content);
        byte[] record = RecordFormat.contentAt(content, RecordFormat.HEADER_BYTES);
        if (record == null) {
            throw new CorruptDataException(file, RecordFormat.HEADER_BYTES, "damaged record");
        }
        return MessageCodec.instance().decode(record, type);
    }

    /**
     * Writes a file with a single record and syncs it.
     *
     * @param file its name
     * @param value the record
     * @throws IOException if it cannot be written
     */
    private void writeSingle(String file, Object value) throws IOException {
        ByteArrayOutputStream content = new ByteArrayOutputStream();
        content.writeBytes(RecordFormat.header());
        content.writeBytes(RecordFormat.record(MessageCodec.instance().encode(value)));
        disk.replace(file, content.toByteArray());
    }
}
