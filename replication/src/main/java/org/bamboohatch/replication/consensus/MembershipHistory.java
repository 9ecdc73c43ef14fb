package org.bamboohatch.replication.consensus;

import java.io.IOException;
import java.util.ArrayDeque;
import java.util.Deque;

import org.bamboohatch.kernel.service.Invariant;
import org.bamboohatch.protocol.message.MessageCodec;
import org.bamboohatch.replication.message.EntryKind;
import org.bamboohatch.replication.message.LogEntry;
import org.bamboohatch.replication.message.Membership;
import org.bamboohatch.replication.message.Snapshot;

/** The memberships in the log. The latest one is in force, whether it is committed or not. */
final class MembershipHistory {

    /**
     * A membership and the log index of its entry.
     *
     * @param index the log index
     * @param membership the voters and learners
     */
    private record IndexedMembership(long index, Membership membership) {}

    /** Memberships in descending order of their index. */
    private final Deque<IndexedMembership> history = new ArrayDeque<>();

    MembershipHistory(Snapshot snapshot) {
        reset(snapshot);
    }

    /**
     * Encodes a membership as the data of a log entry.
     *
     * @param membership the voters and learners
     * @return the encoded membership
     */
    static byte[] encode(Membership membership) {
        return MessageCodec.instance().encode(membership);
    }

    void onAppended(LogEntry entry) {
        if (entry.kind() == EntryKind.MEMBERSHIP) {
            try {
                Membership membership = MessageCodec.instance().decode(entry.data(), Membership.class);
                history.push(new IndexedMembership(entry.index(), membership));
            } catch (IOException malformed) {
                throw new Invariant.Violation(
                        "entry " + entry.index() + " cannot be decoded as a membership: " + malformed);
            }
        }
    }

    /**
     * Removes the memberships of truncated entries.
     *
     * @param from the index of the first truncated entry
     */
    void onTruncated(long from) {
        while (history.peek().index() >= from) {
            history.pop();
        }
    }

    void reset(Snapshot snapshot) {
        history.clear();
        history.push(new IndexedMembership(snapshot.index(), snapshot.membership()));
    }

    Membership latest() {
        return history.peek().membership();
    }

    long latestIndex() {
        return history.peek().index();
    }

    /**
     * Returns the membership in force at a log index.
     *
     * @param index the log index
     * @return the latest membership at or before the index
     */
    Membership membershipAt(long index) {
        for (IndexedMembership indexed : history) {
            if (indexed.index() <= index) {
                return indexed.membership();
            }
        }
        return history.peekLast().membership();
    }
}
