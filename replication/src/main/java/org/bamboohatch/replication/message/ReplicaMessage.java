package org.bamboohatch.replication.message;

import java.util.List;

import org.bamboohatch.kernel.id.HostName;
import org.bamboohatch.kernel.id.ReplicaId;
import org.bamboohatch.protocol.message.Message;
import org.bamboohatch.protocol.message.MessageCatalog;

/** One-way messages between replicas. */
public sealed interface ReplicaMessage extends Message {

    /**
     * Returns the identity of the sending replica.
     *
     * @return the identity
     */
    ReplicaId from();

    /**
     * Requests a vote or a pre-vote.
     *
     * @param from the candidate
     * @param term the term that the candidate intends to lead
     * @param preliminary whether this is a pre-vote, which asks only whether an election could be won
     * @param lastIndex the index of the candidate's last log entry
     * @param lastTerm the term of the candidate's last log entry
     * @param transfer whether the leader has asked the candidate to take over; missing in messages of older replicas
     */
    record VoteRequest(ReplicaId from, long term, boolean preliminary, long lastIndex, long lastTerm, boolean transfer)
            implements ReplicaMessage {}

    /**
     * Replies to a vote request.
     *
     * @param from the replica that votes
     * @param term the term of the request
     * @param currentTerm the current term of the replica that votes
     * @param preliminary whether the request was a pre-vote
     * @param granted whether the vote is granted
     */
    record VoteReply(ReplicaId from, long term, long currentTerm, boolean preliminary, boolean granted)
            implements ReplicaMessage {}

    /**
     * Carries log entries to a follower. A request without entries serves as a heartbeat.
     *
     * @param from the leader
     * @param term the leader's term
     * @param previousIndex the index of the entry that precedes the carried ones
     * @param previousTerm the term of the entry that precedes the carried ones
     * @param entries the log entries, possibly empty
     * @param commitIndex the leader's commit index
     * @param sentAt the send time on the leader's clock in milliseconds, echoed in the reply
     * @param transfer whether the leader is about to stop and asks the follower, which holds all entries, to start an
     *     election at once; a field of this message rather than a message of its own, because older replicas refuse
     *     unknown messages but ignore unknown fields
     */
    record AppendRequest(
            ReplicaId from,
            long term,
            long previousIndex,
            long previousTerm,
            List<LogEntry> entries,
            long commitIndex,
            long sentAt,
            boolean transfer)
            implements ReplicaMessage {

        /**
         * Creates a request of a leader that does not hand over.
         *
         * @param from the leader
         * @param term the leader's term
         * @param previousIndex the index of the entry that precedes the carried ones
         * @param previousTerm the term of the entry that precedes the carried ones
         * @param entries the log entries, possibly empty
         * @param commitIndex the leader's commit index
         * @param sentAt the send time on the leader's clock in milliseconds
         */
        public AppendRequest(
                ReplicaId from,
                long term,
                long previousIndex,
                long previousTerm,
                List<LogEntry> entries,
                long commitIndex,
                long sentAt) {
            this(from, term, previousIndex, previousTerm, entries, commitIndex, sentAt, false);
        }
    }

    /**
     * Replies to an append or a snapshot request.
     *
     * @param from the follower
     * @param term the follower's term
     * @param success whether the follower's log matches up to the match index
     * @param matchIndex the last matching durable index, or after a mismatch the index at which the leader should retry
     * @param sentAt the send time from the request in milliseconds
     * @param leaving whether the follower is about to stop and gives up its vote if a learner can take it; a field of this
     *     message because older replicas refuse unknown messages but ignore unknown fields
     */
    record AppendReply(ReplicaId from, long term, boolean success, long matchIndex, long sentAt, boolean leaving)
            implements ReplicaMessage {

        /**
         * Creates a reply of a follower that stays.
         *
         * @param from the follower
         * @param term the follower's term
         * @param success whether the follower's log matches up to the match index
         * @param matchIndex the last matching durable index, or after a mismatch the index at which to retry
         * @param sentAt the send time from the request in milliseconds
         */
        public AppendReply(ReplicaId from, long term, boolean success, long matchIndex, long sentAt) {
            this(from, term, success, matchIndex, sentAt, false);
        }
    }

    /**
     * Carries a snapshot to a follower whose next entries the leader no longer retains.
     *
     * @param from the leader
     * @param term the leader's term
     * @param snapshot the leader's latest snapshot
     * @param sentAt the send time on the leader's clock in milliseconds, echoed in the reply
     */
    record SnapshotRequest(ReplicaId from, long term, Snapshot snapshot, long sentAt) implements ReplicaMessage {}

    /**
     * Asks the leader to add a replica to the membership.
     *
     * @param from the joining replica
     * @param member the joining replica with its host and address
     * @param replaces the host whose voter it replaces
     * @param established whether the replica takes part in the first start of the installation or has been a member before,
     *     so that it is not expected to replace another one; missing in messages of older replicas
     */
    record JoinRequest(ReplicaId from, Member member, HostName replaces, boolean established)
            implements ReplicaMessage {}

    /**
     * Asks a replica whether it is a member of a group.
     *
     * @param from the probing replica
     * @param member the probing replica with its host and address
     */
    record Probe(ReplicaId from, Member member) implements ReplicaMessage {}

    /**
     * Replies to a probe.
     *
     * @param from the replying replica
     * @param member the replying replica with its host and address
     * @param formed whether the replying replica is a member of a group
     */
    record ProbeReply(ReplicaId from, Member member, boolean formed) implements ReplicaMessage {}

    /**
     * Replies to a probe on behalf of a control process on a host without a disk, which holds no replica. Sent only where
     * such hosts run control, since older replicas refuse unknown messages.
     *
     * @param from the identity of the process
     * @param address the host and port of the process
     * @param leader the host and port of the leader, or an empty string if the process does not know it
     */
    record NoReplica(ReplicaId from, String address, String leader) implements ReplicaMessage {}

    /**
     * Asks a control process without a disk to take part in the election of the replica that founds the group, in one of two
     * phases: to promise not to accept a lower ballot, or to accept a founder. Sent in the first start only, and only if all
     * configured peers are such processes.
     *
     * @param from the proposing replica
     * @param replyAddress the host and port of the proposing replica
     * @param ballot the ballot of the attempt
     * @param founder the founder to accept, null to ask for a promise
     */
    record FounderRequest(ReplicaId from, String replyAddress, FounderBallot ballot, Member founder)
            implements ReplicaMessage {}

    /**
     * Replies to a founder request.
     *
     * @param from the identity of the process
     * @param address the host and port of the process
     * @param ballot the ballot of the request
     * @param founder the founder in the request, null if it asked for a promise
     * @param promised the highest ballot that the process has promised to or accepted; higher than that of a request that it
     *     refuses
     * @param acceptedIn the ballot in which the process has accepted a founder, null if it has accepted none
     * @param accepted the founder that the process has accepted latest, null if it has accepted none
     */
    record FounderReply(
            ReplicaId from,
            String address,
            FounderBallot ballot,
            Member founder,
            FounderBallot promised,
            FounderBallot acceptedIn,
            Member accepted)
            implements ReplicaMessage {

        /**
         * Indicates whether the process has done what the request asked for.
         *
         * @return {@code true} if no higher ballot prevented it
         */
        public boolean wasGranted() {
            return promised.equals(ballot);
        }
    }

    /**
     * Informs a replica with an empty data folder that it is an initial member of a new group.
     *
     * @param from the replica that sends the bootstrap snapshot
     * @param founding the bootstrap snapshot, with which all initial members start
     */
    record Formation(ReplicaId from, Snapshot founding) implements ReplicaMessage {}

    /**
     * Carries a consensus message to one replica identity. It is dropped by a replica with another identity that has
     * replaced the addressed one on the same host.
     *
     * @param to the identity of the addressed replica
     * @param message the consensus message
     * @param replyAddress the host and port at which the sender is reached, which need not be a member that the receiver
     *     knows; null in messages of older replicas
     */
    record Envelope(ReplicaId to, ReplicaMessage message, String replyAddress) implements Message {}

    /** Registers the messages of the replication module. */
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
                    NoReplica.class,
                    FounderRequest.class,
                    FounderReply.class,
                    Formation.class,
                    Envelope.class);
        }
    }
}
