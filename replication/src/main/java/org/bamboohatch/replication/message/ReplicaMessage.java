package org.bamboohatch.replication.message;

import java.util.List;

import org.bamboohatch.kernel.id.HostName;
import org.bamboohatch.kernel.id.ReplicaId;
import org.bamboohatch.protocol.message.Message;
import org.bamboohatch.protocol.message.MessageCatalog;

/** Messages between replicas; each is sent one way. */
public sealed interface ReplicaMessage extends Message {

    /**
     * Returns the sender.
     *
     * @return the sender
     */
    ReplicaId from();

    /**
     * Asks for a vote.
     *
     * @param from the candidate
     * @param term the term that the candidate wants to lead
     * @param preliminary whether the candidate only asks if it could win
     * @param lastIndex index of its last entry
     * @param lastTerm term of its last entry
     */
    record VoteRequest(ReplicaId from, long term, boolean preliminary, long lastIndex, long lastTerm)
            implements ReplicaMessage {}

    /**
     * Answers a vote request.
     *
     * @param from the voter
     * @param term the term of the request
     * @param currentTerm the voter's own term
     * @param preliminary whether the request was preliminary
     * @param granted whether the vote is given
     */
    record VoteReply(ReplicaId from, long term, long currentTerm, boolean preliminary, boolean granted)
            implements ReplicaMessage {}

    /**
     * Carries entries, or shows that the leader lives.
     *
     * @param from the leader
     * @param term its term
     * @param previousIndex index of the entry before the carried ones
     * @param previousTerm term of that entry
     * @param entries the entries
     * @param commitIndex the leader's commit index
     * @param sentAt the leader's own time in milliseconds, echoed by the reply
     */
    record AppendRequest(
            ReplicaId from,
            long term,
            long previousIndex,
            long previousTerm,
            List<LogEntry> entries,
            long commitIndex,
            long sentAt)
            implements ReplicaMessage {}

    /**
     * Answers an append or a snapshot.
     *
     * @param from the follower
     * @param term its term
     * @param success whether its log matches up to the match index
     * @param matchIndex the last matching durable index, or after a mismatch the index to go back to
     * @param sentAt the leader's time from the request
     */
    record AppendReply(ReplicaId from, long term, boolean success, long matchIndex, long sentAt)
            implements ReplicaMessage {}

    /**
     * Carries a snapshot to a follower that lags too far behind.
     *
     * @param from the leader
     * @param term its term
     * @param snapshot the snapshot
     * @param sentAt the leader's own time in milliseconds, echoed by the reply
     */
    record SnapshotRequest(ReplicaId from, long term, Snapshot snapshot, long sentAt) implements ReplicaMessage {}

    /**
     * Asks the leader to take in a replica.
     *
     * @param from the replica
     * @param member the replica with its host and address
     * @param replaces the host whose voter it replaces
     */
    record JoinRequest(ReplicaId from, Member member, HostName replaces) implements ReplicaMessage {}

    /**
     * Asks a configured host for its state, before a first formation.
     *
     * @param from the replica that asks
     * @param member the replica with its host and address
     */
    record Probe(ReplicaId from, Member member) implements ReplicaMessage {}

    /**
     * Answers a probe.
     *
     * @param from the replica that answers
     * @param member the replica with its host and address
     * @param formed whether it belongs to a formed group
     */
    record ProbeReply(ReplicaId from, Member member, boolean formed) implements ReplicaMessage {}

    /**
     * Tells an empty replica that it belongs to a new group.
     *
     * @param from the founder
     * @param founding the snapshot that every founding member begins with
     */
    record Formation(ReplicaId from, Snapshot founding) implements ReplicaMessage {}

    /**
     * Carries a message of the consensus to one replica. A replica that took the place of the addressed one on the
     * same host drops it.
     *
     * @param to the addressed replica
     * @param message the message
     */
    record Envelope(ReplicaId to, ReplicaMessage message) implements Message {}

    /** Registers the messages of this module. */
    final class Catalog implements MessageCatalog {

        @Override
        public String name() {
            return "replication";
        }

        @Override
        public List<Class<? extends Message>> types() {
            return List.of(
                    VoteRequest.class,
                    VoteReply.class,
                    AppendRequest.class,
                    AppendReply.class,
                    SnapshotRequest.class,
                    JoinRequest.class,
                    Probe.class,
                    ProbeReply.class,
                    Formation.class,
                    Envelope.class);
        }
    }
}
