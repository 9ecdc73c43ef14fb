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

/** The memberships in the log; the latest one is in force, committed or not. */
final class MembershipHistory {

    /**
     * A membership and its place in the log.
     *
     * @param index index of the entry
     * @param membership the membership
     */
    private record Placed(long index, Membership membership) {}

    /** The memberships, the latest first. */
    private final Deque<Placed> history = new ArrayDeque<>();

    /**
     * Creates a history.
     *
     * @param snapshot the snapshot that the log begins with
     */
    MembershipHistory(Snapshot snapshot) {
        reset(snapshot);
    }

    /**
     * Encodes a membership as the content of an entry.
     *
     * @param membership the membership
     * @return the content
     */
    static byte[] encode(Membership membership) {
        return MessageCodec.instance().encode(membership);
    }

    /**
     * Takes note of an appended entry.
     *
     * @param entry the entry
     */
    void appended(LogEntry entry) {
        if (entry.kind() == EntryKind.MEMBERSHIP) {
            try {
                Membership membership = MessageCodec.instance().decode(entry.data(), Membership.class);
                history.push(new Placed(entry.index(), membership));
            } catch (IOException malformed) {
                throw new Invariant.Broken("entry " + entry.index() + " holds no membership: " + malformed);
            }
        }
    }

    /**
     * Forgets truncated entries.
     *
     * @param from index of the first dropped entry
     */
    void truncated(long from) {
        while (history.peek().index() >= from) {
            history.pop();
        }
    }

    /**
     * Begins again with a snapshot.
     *
     * @param snapshot the snapshot
     */
    void reset(Snapshot snapshot) {
        history.clear();
        history.push(new Placed(snapshot.index(), snapshot.membership()));
    }

    /**
     * Returns the membership in force.
     *
     * @return the latest membership
     */
    Membership latest() {
        return history.peek().membership();
    }

    /**
     * Returns the index of the membership in force.
     *
     * @return the index
     */
    long latestIndex() {
        return history.peek().index();
    }

    /**
     * Returns the membership at a point of the log.
     *
     * @param index the point
     * @return the membership
     */
    Membership at(long index) {
        for (Placed placed : history) {
            if (placed.index() <= index) {
                return placed.membership();
            }
        }
        return history.peekLast().membership();
    }
}
