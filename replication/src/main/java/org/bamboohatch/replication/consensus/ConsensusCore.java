package org.bamboohatch.replication.consensus;

import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.random.RandomGenerator;

import org.bamboohatch.kernel.id.ReplicaId;
import org.bamboohatch.kernel.service.Invariant;
import org.bamboohatch.replication.message.EntryKind;
import org.bamboohatch.replication.message.LogEntry;
import org.bamboohatch.replication.message.Membership;
import org.bamboohatch.replication.message.ReplicaMessage;
import org.bamboohatch.replication.message.ReplicaMessage.AppendReply;
import org.bamboohatch.replication.message.ReplicaMessage.AppendRequest;
import org.bamboohatch.replication.message.ReplicaMessage.Envelope;
import org.bamboohatch.replication.message.ReplicaMessage.JoinRequest;
import org.bamboohatch.replication.message.ReplicaMessage.SnapshotRequest;
import org.bamboohatch.replication.message.ReplicaMessage.VoteReply;
import org.bamboohatch.replication.message.ReplicaMessage.VoteRequest;
import org.bamboohatch.replication.message.Snapshot;

/**
 * The Raft state machine of one replica, free of threads, clocks, sockets and files. Each step receives the current
 * time of the replica's monotonic clock in milliseconds; {@link #drain} returns the effects that the driver must carry
 * out.
 */
public final class ConsensusCore {

    /**
     * Number of maximum election timeouts without a leader after which a voter looks for a group that admits it. A
     * voter waits longer than other replicas because its group may be holding an election.
     */
    private static final int VOTER_LEADER_LOSS_TIMEOUTS = 3;

    private final ReplicaId self;

    private final ConsensusTiming timing;

    /** Source of the randomized election timeouts. */
    private final RandomGenerator random;

    private final ReplicaLog log;

    /** Number of voters that a leader restores, or zero for the current number rounded up to an odd one. */
    private final int desiredVoters;

    /** Latest term that this replica has seen. */
    private long term;

    /** Candidate that received this replica's vote in the current term, or {@code null}. */
    private ReplicaId votedFor;

    private Role role = Role.FOLLOWER;

    /** Leader of the current term, or {@code null} if it is unknown. */
    private ReplicaId leader;

    /** Time of the last message from a leader; initially more than a maximum election timeout in the past. */
    private long lastLeaderContact;

    /** Time at which a follower or candidate starts an election. */
    private long electionDeadline;

    /** Voters that granted a vote in the current election or pre-vote, including this replica. */
    private final Set<ReplicaId> grantedVotes = new HashSet<>();

    /** Leader state, or {@code null} unless this replica is the leader. */
    private Leadership leadership;

    /** Whether this replica is about to stop. */
    private boolean leaving;

    /**
     * Creates a replica that starts as a follower.
     *
     * @param self the identity of this replica
     * @param timing election timeouts and heartbeat interval
     * @param random the source of the randomized election timeouts
     * @param state the stored term and vote
     * @param snapshot the latest stored snapshot
     * @param entries the stored log entries, which may overlap with the snapshot
     * @param desiredVoters the number of voters that a leader restores, or zero for the current number rounded up to an
     * odd one
     * @param now the current time in milliseconds
     */
    public ConsensusCore(
            ReplicaId self,
            ConsensusTiming timing,
            RandomGenerator random,
            HardState state,
            Snapshot snapshot,
            List<LogEntry> entries,
            int desiredVoters,
            long now) {
        this.desiredVoters = desiredVoters;
        this.self = self;
        this.timing = timing;
        this.random = random;
        this.term = state.term();
        this.votedFor = state.vote();
        this.log = new ReplicaLog(new MemoryLog(snapshot, entries));
        // A starting replica has not heard from a leader. Treating the start as leader contact would make it reject
        // votes and delay the election of a group that was stopped as a whole.
        this.lastLeaderContact = now - timing.maximumElectionTimeoutMillis() - 1;
        this.electionDeadline =
                now + random.nextLong(timing.heartbeatIntervalMillis(), timing.minimumElectionTimeoutMillis());
    }

    /**
     * Advances time: a leader sends due messages or steps down, another voter starts an election once its timeout has
     * passed.
     *
     * @param now the current time in milliseconds
     */
    public void tick(long now) {
        if (role == Role.LEADER) {
            leadership.tick(now);
        } else if (now >= electionDeadline) {
            if (membership().isVoter(self)) {
                campaign(true, false, now);
            } else {
                resetElectionDeadline(now);
            }
        }
    }

    /**
     * Handles a consensus message. A message that is addressed to a different replica identity is dropped.
     *
     * @param envelope the message with the identity of its receiver
     * @param now the current time in milliseconds
     */
    public void receive(Envelope envelope, long now) {
        ReplicaMessage message = envelope.message();
        if (!envelope.to().equals(self)) {
            return;
        }
        if (message instanceof VoteRequest request) {
            handleVoteRequest(request, now);
        } else if (message instanceof VoteReply reply) {
            handleVoteReply(reply, now);
        } else if (message instanceof AppendRequest request) {
            handleAppendRequest(request, now);
        } else if (message instanceof SnapshotRequest request) {
            handleSnapshotRequest(request, now);
        } else if (message instanceof AppendReply reply) {
            handleAppendReply(reply, now);
        }
    }

    /**
     * Handles the request of a replica to become a member. Ignored unless this replica is the leader.
     *
     * @param request the joining replica and the host whose voter it replaces
     * @param now the current time in milliseconds
     */
    public void handleJoin(JoinRequest request, long now) {
        if (role == Role.LEADER) {
            leadership.handleJoin(request, now);
        }
    }

    /**
     * Hands leadership over to the most advanced voter, as before a planned stop. Until it takes over or the transfer times
     * out, no proposals are accepted. Ignored unless this replica is the leader.
     *
     * @param now the current time in milliseconds
     */
    public void transferLeadership(long now) {
        if (role == Role.LEADER) {
            leadership.beginTransfer(now);
        }
    }

    /**
     * Prepares a planned stop: a leader hands leadership over, a follower offers its vote to a learner in its replies.
     *
     * @param now the current time in milliseconds
     */
    public void leave(long now) {
        leaving = true;
        transferLeadership(now);
    }

    /**
     * Indicates whether the group does not depend on this replica any more than it must.
     *
     * @return {@code true} if it neither leads nor votes, or if it does not lead and there is no learner to take its vote
     */
    public boolean hasLeft() {
        boolean voteGiven = !membership().isVoter(self) && log.commitIndex() >= log.membershipIndex();
        return role != Role.LEADER && (voteGiven || membership().learners().isEmpty());
    }

    /**
     * Proposes a command. Only a leader that is not handing over accepts proposals.
     *
     * @param command the encoded command
     * @param now the current time in milliseconds
     * @return the log index of the command, at which it commits unless leadership changes, or empty if this replica is
     * not the leader
     */
    public OptionalLong propose(byte[] command, long now) {
        if (role != Role.LEADER || leadership.isTransferring(now)) {
            return OptionalLong.empty();
        }
        LogEntry entry = log.appendAsLeader(term, EntryKind.COMMAND, command);
        leadership.replicate(now);
        return OptionalLong.of(entry.index());
    }

    /**
     * Invoked when all previously drained effects are durable.
     *
     * @param index the index of the last durable log entry
     * @param now the current time in milliseconds
     */
    public void onPersisted(long index, long now) {
        if (role == Role.LEADER) {
            leadership.onPersisted(index, now);
        }
    }

    /**
     * Returns the effects of all steps since the previous call and clears them.
     *
     * @return the effects to carry out, possibly empty
     */
    public Effects drain() {
        return log.drain();
    }

    /**
     * Indicates whether a read that arrived at the given time may be answered. This requires that a quorum has
     * acknowledged a message sent after that time, so that no other leader can have committed an entry that is unknown
     * here. Unlike a leader lease, the check does not depend on clock rates or on suspensions of the process.
     *
     * @param since the arrival time of the read in milliseconds
     * @param now the current time in milliseconds
     * @return {@code true} if leadership is confirmed and an entry of the current term is applied
     */
    public boolean isLeadershipConfirmedSince(long since, long now) {
        return role == Role.LEADER
                && log.appliedIndex() >= leadership.termStartIndex()
                && leadership.isLeadershipConfirmedSince(since, now);
    }

    /**
     * Indicates whether a committed entry may be acknowledged: it is durable at a majority of the desired voters, also if
     * the group has fewer voters.
     *
     * @param index the index of the entry
     * @return {@code true} if this replica is the leader and enough replicas hold the entry
     */
    public boolean isDurableAsDesired(long index) {
        return role == Role.LEADER && leadership.isDurableAsDesired(index);
    }

    /**
     * Sends heartbeats to confirm leadership for pending reads, unless they were sent very recently. Ignored unless
     * this replica is the leader.
     *
     * @param now the current time in milliseconds
     */
    public void requestLeadershipConfirmation(long now) {
        if (role == Role.LEADER) {
            leadership.requestLeadershipConfirmation(now);
        }
    }

    /**
     * Indicates whether this replica has been without a leader for so long that it should look for a group that admits it.
     *
     * @param now the current time in milliseconds
     * @return {@code true} if this replica is not the leader and the leader loss timeout has passed
     */
    public boolean isLeaderLost(long now) {
        long timeoutMillis = membership().isVoter(self)
                ? VOTER_LEADER_LOSS_TIMEOUTS * timing.maximumElectionTimeoutMillis()
                : timing.maximumElectionTimeoutMillis();
        return role != Role.LEADER && now - lastLeaderContact > timeoutMillis;
    }

    public ReplicaLog log() {
        return log;
    }

    /**
     * Returns the latest term that this replica has seen.
     *
     * @return the term, zero before the first election
     */
    public long term() {
        return term;
    }

    public Role role() {
        return role;
    }

    /**
     * Returns the leader of the current term.
     *
     * @return the leader, or empty if it is unknown
     */
    public Optional<ReplicaId> leader() {
        return Optional.ofNullable(leader);
    }

    /**
     * Returns the membership in force, which is the latest one in the log whether committed or not.
     *
     * @return the voters and learners
     */
    public Membership membership() {
        return log.membership();
    }

    private void resetElectionDeadline(long now) {
        electionDeadline =
                now + random.nextLong(timing.minimumElectionTimeoutMillis(), timing.maximumElectionTimeoutMillis());
    }

    /**
     * Becomes a follower. A newer term clears the vote.
     *
     * @param newTerm the term, not less than the current one
     * @param newLeader the leader of the term, or {@code null} if it is unknown
     * @param now the current time in milliseconds
     */
    void becomeFollower(long newTerm, ReplicaId newLeader, long now) {
        Invariant.check(newTerm >= term, () -> "term would decrease from " + term + " to " + newTerm);
        if (newTerm > term) {
            term = newTerm;
            votedFor = null;
            log.effects().persistHardState(new HardState(term, null));
        }
        role = Role.FOLLOWER;
        leader = newLeader;
        leadership = null;
        resetElectionDeadline(now);
    }

    /**
     * Starts a pre-vote or an election.
     *
     * @param preVote whether to ask only if an election could be won, without increasing the term
     * @param transfer whether the leader has asked for the election
     * @param now the current time in milliseconds
     */
    private void campaign(boolean preVote, boolean transfer, long now) {
        role = preVote ? Role.PRE_CANDIDATE : Role.CANDIDATE;
        leader = null;
        grantedVotes.clear();
        grantedVotes.add(self);
        if (!preVote) {
            term++;
            votedFor = self;
            log.effects().persistHardState(new HardState(term, votedFor));
        }
        resetElectionDeadline(now);
        long requestedTerm = preVote ? term + 1 : term;
        membership().voters().stream()
                .filter(member -> !member.replica().equals(self))
                .forEach(member -> log.effects()
                        .sendAfterSync(
                                member.replica(),
                                new VoteRequest(
                                        self,
                                        requestedTerm,
                                        preVote,
                                        log.entries().lastIndex(),
                                        log.entries().lastTerm(),
                                        transfer)));
        advanceElection(now);
    }

    /**
     * Handles a vote request. A learner votes too, because it may have been promoted without having received that
     * membership yet; the candidate counts only votes from voters of its own membership. Requests are rejected while a
     * leader is active, so that a replica returning from a partition does not depose it, unless the leader hands over.
     *
     * @param request the vote or pre-vote request
     * @param now the current time in milliseconds
     */
    private void handleVoteRequest(VoteRequest request, long now) {
        boolean leaderActive = role == Role.LEADER || now - lastLeaderContact < timing.minimumElectionTimeoutMillis();
        if (leaderActive && !request.transfer() || request.term() < term) {
            sendVoteReply(request, false);
            return;
        }
        if (!request.preliminary() && request.term() > term) {
            becomeFollower(request.term(), null, now);
        }
        boolean voteAvailable =
                request.preliminary() ? request.term() > term : votedFor == null || votedFor.equals(request.from());
        boolean granted = log.isContainedIn(request) && voteAvailable;
        if (granted && !request.preliminary()) {
            votedFor = request.from();
            log.effects().persistHardState(new HardState(term, votedFor));
            resetElectionDeadline(now);
        }
        sendVoteReply(request, granted);
    }

    private void sendVoteReply(VoteRequest request, boolean granted) {
        log.effects()
                .sendAfterSync(
                        request.from(), new VoteReply(self, request.term(), term, request.preliminary(), granted));
    }

    private void handleVoteReply(VoteReply reply, long now) {
        if (reply.currentTerm() > term) {
            becomeFollower(reply.currentTerm(), null, now);
            return;
        }
        boolean expected = reply.preliminary()
                ? role == Role.PRE_CANDIDATE && reply.term() == term + 1
                : role == Role.CANDIDATE && reply.term() == term;
        if (expected && reply.granted() && membership().isVoter(reply.from())) {
            grantedVotes.add(reply.from());
            advanceElection(now);
        }
    }

    /**
     * Proceeds from the pre-vote to the election, or from the election to leadership, once a quorum has granted its
     * vote.
     *
     * @param now the current time in milliseconds
     */
    private void advanceElection(long now) {
        if (grantedVotes.size() < membership().quorum()) {
            return;
        }
        if (role == Role.PRE_CANDIDATE) {
            campaign(false, false, now);
        } else if (role == Role.CANDIDATE) {
            role = Role.LEADER;
            leader = self;
            leadership = new Leadership(this, self, timing, log, desiredVoters, now);
            log.appendAsLeader(term, EntryKind.NOOP, new byte[0]);
            leadership.replicate(now);
        }
    }

    private void handleAppendRequest(AppendRequest request, long now) {
        if (request.term() < term) {
            sendAppendReply(request.from(), false, 0, request.sentAt());
            return;
        }
        acceptLeader(request.from(), request.term(), now);
        boolean matches = log.matches(request);
        long index = matches ? log.acceptAppend(request) : log.backtrackIndex(request);
        sendAppendReply(request.from(), matches, index, request.sentAt());
        if (request.transfer() && matches && membership().isVoter(self)) {
            campaign(false, true, now);
        }
    }

    private void handleSnapshotRequest(SnapshotRequest request, long now) {
        if (request.term() < term) {
            sendAppendReply(request.from(), false, 0, request.sentAt());
            return;
        }
        acceptLeader(request.from(), request.term(), now);
        log.install(request.snapshot());
        sendAppendReply(request.from(), true, log.commitIndex(), request.sentAt());
    }

    private void sendAppendReply(ReplicaId to, boolean success, long matchIndex, long sentAt) {
        log.effects().sendAfterSync(to, new AppendReply(self, term, success, matchIndex, sentAt, leaving));
    }

    /**
     * Follows the sender of an append or snapshot request as the leader of its term.
     *
     * @param from the leader
     * @param leaderTerm the leader's term
     * @param now the current time in milliseconds
     */
    private void acceptLeader(ReplicaId from, long leaderTerm, long now) {
        Invariant.check(
                role != Role.LEADER || leaderTerm > term,
                () -> "two leaders in term " + term + ": " + self + ", " + from);
        becomeFollower(leaderTerm, from, now);
        lastLeaderContact = now;
    }

    private void handleAppendReply(AppendReply reply, long now) {
        if (reply.term() > term) {
            becomeFollower(reply.term(), null, now);
        } else if (role == Role.LEADER && reply.term() == term) {
            leadership.handleReply(reply, now);
        }
    }
}
