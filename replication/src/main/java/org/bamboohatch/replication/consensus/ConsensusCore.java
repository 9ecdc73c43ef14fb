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
 * One replica's part in the consensus, without threads, clocks, sockets or files. Each step takes the present time
 * in milliseconds of the replica's own monotonic clock; {@link #drain} returns what is to be done because of it.
 */
public final class ConsensusCore {

    /** Elections that a voter lets pass before it asks whether its group has replaced it. */
    private static final int VOTER_PATIENCE_ELECTIONS = 3;

    /** Identity of this replica. */
    private final ReplicaId self;

    /** The times of the consensus. */
    private final ConsensusTiming timing;

    /** Draws election timeouts. */
    private final RandomGenerator random;

    /** The log. */
    private final ReplicaLog log;

    /** Voters that a leader aims at, zero for as many as there are, made odd. */
    private final int desiredVoters;

    /** The latest term seen. */
    private long term;

    /** The candidate voted for in that term, or null. */
    private ReplicaId vote;

    /** The present role. */
    private Role role = Role.FOLLOWER;

    /** The leader of the term, or null. */
    private ReplicaId leader;

    /** Time of the leader's last message, or of the start, because a leader may have been heard just before it. */
    private long lastLeaderContact;

    /** Time at which this replica stands for election. */
    private long electionDeadline;

    /** Votes won in the present election. */
    private final Set<ReplicaId> votes = new HashSet<>();

    /** What this replica does as a leader, or null. */
    private Leadership leadership;

    /**
     * Creates a replica that aims at a number of voters.
     *
     * @param self this replica
     * @param timing the times
     * @param random draws the election times
     * @param state the durable state
     * @param snapshot the snapshot
     * @param entries the entries after the snapshot
     * @param desiredVoters voters that a leader aims at, zero for as many as there are, made odd
     * @param now the present time
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
        this.vote = state.vote();
        this.log = new ReplicaLog(new MemoryLog(snapshot, entries));
        // A replica that begins has heard no leader, so that a group that was stopped as a whole elects one at once.
        this.lastLeaderContact = now - timing.maximumElectionTimeoutMillis() - 1;
        this.electionDeadline =
                now + random.nextLong(timing.heartbeatIntervalMillis(), timing.minimumElectionTimeoutMillis());
    }

    /**
     * Lets time pass.
     *
     * @param now the present time
     */
    public void tick(long now) {
        if (role == Role.LEADER) {
            if (leadership.hasLostQuorum(now)) {
                follow(term, null, now);
            } else {
                leadership.tick(now);
            }
        } else if (now >= electionDeadline) {
            if (membership().isVoter(self)) {
                campaign(true, now);
            } else {
                resetElection(now);
            }
        }
    }

    /**
     * Takes a message that is addressed to this replica; others are dropped.
     *
     * @param envelope the message
     * @param now the present time
     */
    public void receive(Envelope envelope, long now) {
        ReplicaMessage message = envelope.message();
        if (!envelope.to().equals(self)) {
            return;
        }
        if (message instanceof VoteRequest request) {
            answerVote(request, now);
        } else if (message instanceof VoteReply reply) {
            countVote(reply, now);
        } else if (message instanceof AppendRequest request) {
            answerAppend(request, now);
        } else if (message instanceof SnapshotRequest request) {
            answerSnapshot(request, now);
        } else if (message instanceof AppendReply reply) {
            takeAppendReply(reply, now);
        }
    }

    /**
     * Takes a replica in, if this is the leader.
     *
     * @param request the replica
     * @param now the present time
     */
    public void join(JoinRequest request, long now) {
        if (role == Role.LEADER) {
            leadership.join(request.member(), request.replaces(), now);
        }
    }

    /**
     * Proposes a command; only the leader can.
     *
     * @param command the command
     * @param now the present time
     * @return the index at which it will be committed unless leadership changes, or nothing if this is not the leader
     */
    public OptionalLong propose(byte[] command, long now) {
        if (role != Role.LEADER) {
            return OptionalLong.empty();
        }
        LogEntry entry = log.appendOwn(term, EntryKind.COMMAND, command);
        leadership.replicate(now);
        return OptionalLong.of(entry.index());
    }

    /**
     * Takes note that everything drained so far is durable.
     *
     * @param index the last durable index
     * @param now the present time
     */
    public void persisted(long index, long now) {
        if (role == Role.LEADER) {
            leadership.persisted(index, now);
        }
    }

    /**
     * Takes what is to be done because of the steps since the last call.
     *
     * @return the effects
     */
    public Effects drain() {
        return log.drain();
    }

    /**
     * Tells whether a quorum has followed this replica since a time, so that no other leader can have decided
     * anything that this one does not know. Unlike a lease it holds whatever the clocks did meanwhile.
     *
     * @param since the time
     * @param now the present time
     * @return whether a read that arrived at the time may be answered
     */
    public boolean isLeadershipConfirmedSince(long since, long now) {
        return role == Role.LEADER
                && log.appliedIndex() >= leadership.firstIndex()
                && leadership.isLeadershipConfirmedSince(since, now);
    }

    /**
     * Asks the followers for a confirmation unless one is under way.
     *
     * @param now the present time
     */
    public void requestLeadershipConfirmation(long now) {
        if (role == Role.LEADER) {
            leadership.requestLeadershipConfirmation(now);
        }
    }

    /**
     * Tells whether the replica should look for a group that takes it in.
     *
     * @param now the present time
     * @return whether no leader has been heard for long; a voter waits longer, as its group may be electing
     */
    public boolean isLeaderLost(long now) {
        long patience = membership().isVoter(self)
                ? VOTER_PATIENCE_ELECTIONS * timing.maximumElectionTimeoutMillis()
                : timing.maximumElectionTimeoutMillis();
        return role != Role.LEADER && now - lastLeaderContact > patience;
    }

    /**
     * Returns the log.
     *
     * @return the log of this replica
     */
    public ReplicaLog log() {
        return log;
    }

    /**
     * Returns the latest term seen.
     *
     * @return the term
     */
    public long term() {
        return term;
    }

    /**
     * Returns the present role.
     *
     * @return the role
     */
    public Role role() {
        return role;
    }

    /**
     * Returns the leader of the term.
     *
     * @return the leader, if it is known
     */
    public Optional<ReplicaId> leader() {
        return Optional.ofNullable(leader);
    }

    /**
     * Returns the membership in force.
     *
     * @return the membership
     */
    public Membership membership() {
        return log.membership();
    }

    /**
     * Draws a new time at which to stand for election.
     *
     * @param now the present time
     */
    private void resetElection(long now) {
        electionDeadline =
                now + random.nextLong(timing.minimumElectionTimeoutMillis(), timing.maximumElectionTimeoutMillis());
    }

    /**
     * Becomes a follower.
     *
     * @param newTerm the term, not before the present one
     * @param newLeader the leader, or null
     * @param now the present time
     */
    void follow(long newTerm, ReplicaId newLeader, long now) {
        Invariant.check(newTerm >= term, () -> "term goes back from " + term + " to " + newTerm);
        if (newTerm > term) {
            term = newTerm;
            vote = null;
            log.effects().remember(new HardState(term, null));
        }
        role = Role.FOLLOWER;
        leader = newLeader;
        leadership = null;
        resetElection(now);
    }

    /**
     * Stands for election.
     *
     * @param preliminary whether to ask first if the election could be won
     * @param now the present time
     */
    private void campaign(boolean preliminary, long now) {
        role = preliminary ? Role.PRE_CANDIDATE : Role.CANDIDATE;
        leader = null;
        votes.clear();
        votes.add(self);
        if (!preliminary) {
            term++;
            vote = self;
            log.effects().remember(new HardState(term, vote));
        }
        resetElection(now);
        long wanted = preliminary ? term + 1 : term;
        membership().voters().stream()
                .filter(member -> !member.replica().equals(self))
                .forEach(member -> log.effects()
                        .sendLate(
                                member.replica(),
                                new VoteRequest(
                                        self,
                                        wanted,
                                        preliminary,
                                        log.entries().lastIndex(),
                                        log.entries().lastTerm())));
        tally(now);
    }

    /**
     * Answers a candidate. A learner answers too: it may have been made a voter without knowing it yet, and the
     * candidate counts the votes of its own membership only.
     *
     * @param request the request
     * @param now the present time
     */
    private void answerVote(VoteRequest request, long now) {
        boolean leaderLives = role == Role.LEADER || now - lastLeaderContact < timing.minimumElectionTimeoutMillis();
        if (leaderLives || request.term() < term) {
            reply(request, false);
            return;
        }
        if (!request.preliminary() && request.term() > term) {
            follow(request.term(), null, now);
        }
        boolean upToDate = request.lastTerm() > log.entries().lastTerm()
                || request.lastTerm() == log.entries().lastTerm()
                        && request.lastIndex() >= log.entries().lastIndex();
        boolean free = request.preliminary() ? request.term() > term : vote == null || vote.equals(request.from());
        boolean granted = upToDate && free;
        if (granted && !request.preliminary()) {
            vote = request.from();
            log.effects().remember(new HardState(term, vote));
            resetElection(now);
        }
        reply(request, granted);
    }

    /**
     * Sends the answer to a candidate.
     *
     * @param request the request
     * @param granted whether the vote is given
     */
    private void reply(VoteRequest request, boolean granted) {
        log.effects()
                .sendLate(request.from(), new VoteReply(self, request.term(), term, request.preliminary(), granted));
    }

    /**
     * Counts a vote.
     *
     * @param reply the reply
     * @param now the present time
     */
    private void countVote(VoteReply reply, long now) {
        if (reply.currentTerm() > term) {
            follow(reply.currentTerm(), null, now);
            return;
        }
        boolean awaited = reply.preliminary()
                ? role == Role.PRE_CANDIDATE && reply.term() == term + 1
                : role == Role.CANDIDATE && reply.term() == term;
        if (awaited && reply.granted() && membership().isVoter(reply.from())) {
            votes.add(reply.from());
            tally(now);
        }
    }

    /**
     * Goes on when enough votes are won.
     *
     * @param now the present time
     */
    private void tally(long now) {
        if (votes.size() < membership().quorum()) {
            return;
        }
        if (role == Role.PRE_CANDIDATE) {
            campaign(false, now);
        } else if (role == Role.CANDIDATE) {
            role = Role.LEADER;
            leader = self;
            leadership = new Leadership(this, self, timing, log, desiredVoters, now);
            log.appendOwn(term, EntryKind.NOOP, new byte[0]);
            leadership.replicate(now);
        }
    }

    /**
     * Answers an append.
     *
     * @param request the request
     * @param now the present time
     */
    private void answerAppend(AppendRequest request, long now) {
        if (request.term() < term) {
            log.effects().sendLate(request.from(), new AppendReply(self, term, false, 0, request.sentAt()));
            return;
        }
        hearLeader(request.from(), request.term(), now);
        boolean matches = log.matches(request);
        long index = matches ? log.accept(request) : log.backFrom(request);
        log.effects().sendLate(request.from(), new AppendReply(self, term, matches, index, request.sentAt()));
    }

    /**
     * Answers a snapshot.
     *
     * @param request the request
     * @param now the present time
     */
    private void answerSnapshot(SnapshotRequest request, long now) {
        if (request.term() < term) {
            log.effects().sendLate(request.from(), new AppendReply(self, term, false, 0, request.sentAt()));
            return;
        }
        hearLeader(request.from(), request.term(), now);
        log.install(request.snapshot());
        log.effects().sendLate(request.from(), new AppendReply(self, term, true, log.commitIndex(), request.sentAt()));
    }

    /**
     * Takes note of a leader's message.
     *
     * @param from the leader
     * @param leaderTerm its term
     * @param now the present time
     */
    private void hearLeader(ReplicaId from, long leaderTerm, long now) {
        Invariant.check(
                role != Role.LEADER || leaderTerm > term,
                () -> "two leaders in term " + term + ": " + self + ", " + from);
        follow(leaderTerm, from, now);
        lastLeaderContact = now;
    }

    /**
     * Takes a follower's reply.
     *
     * @param reply the reply
     * @param now the present time
     */
    private void takeAppendReply(AppendReply reply, long now) {
        if (reply.term() > term) {
            follow(reply.term(), null, now);
        } else if (role == Role.LEADER && reply.term() == term) {
            leadership.takeReply(reply, now);
        }
    }
}
