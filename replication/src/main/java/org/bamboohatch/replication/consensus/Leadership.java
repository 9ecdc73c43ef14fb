package org.bamboohatch.replication.consensus;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.bamboohatch.kernel.id.HostName;
import org.bamboohatch.kernel.id.ReplicaId;
import org.bamboohatch.replication.message.EntryKind;
import org.bamboohatch.replication.message.LogEntry;
import org.bamboohatch.replication.message.Member;
import org.bamboohatch.replication.message.Membership;
import org.bamboohatch.replication.message.ReplicaMessage.AppendReply;
import org.bamboohatch.replication.message.ReplicaMessage.AppendRequest;
import org.bamboohatch.replication.message.ReplicaMessage.SnapshotRequest;

/** What a replica does and knows while it leads. */
final class Leadership {

    /** Entries in one append at most. */
    private static final int MAX_BATCH_ENTRIES = 512;

    /** Bytes in one append at most, unless a single entry is larger. */
    private static final int MAX_BATCH_BYTES = 1024 * 1024;

    /** Time after which unanswered appends count as lost, in heartbeats. */
    private static final int LOST_AFTER_HEARTBEATS = 4;

    /** Silence after which a voter is replaced by a learner that is up to date, in milliseconds. */
    static final long LOST_VOTER_MS = 2_500;

    /** Least time between two confirmations that reads ask for, in milliseconds. */
    private static final long CONFIRMATION_INTERVAL_MS = 8;

    /** The replica. */
    private final ConsensusCore core;

    /** Identity of the replica. */
    private final ReplicaId self;

    /** The times of the consensus. */
    private final ConsensusTiming timing;

    /** The log of the replica. */
    private final ReplicaLog replicaLog;

    /** The entries of the log. */
    private final MemoryLog log;

    /** Index of the first entry of the term. */
    private final long firstIndex;

    /** Number of voters to keep. */
    private final int desiredVoters;

    /** What is known of the other replicas. */
    private final Map<ReplicaId, FollowerProgress> followers = new HashMap<>();

    /** Hosts that learners take the place of. */
    private final Map<ReplicaId, HostName> replacements = new HashMap<>();

    /** Index of the last own durable entry. */
    private long ownMatch;

    /**
     * Begins leadership.
     *
     * @param core the replica
     * @param self identity of the replica
     * @param timing the times of the consensus
     * @param replicaLog the log
     * @param desiredVoters voters to aim at, zero for as many as there are, made odd
     * @param now the present time
     */
    Leadership(
            ConsensusCore core,
            ReplicaId self,
            ConsensusTiming timing,
            ReplicaLog replicaLog,
            int desiredVoters,
            long now) {
        this.core = core;
        this.self = self;
        this.timing = timing;
        this.replicaLog = replicaLog;
        this.log = replicaLog.entries();
        this.firstIndex = log.lastIndex() + 1;
        this.ownMatch = log.lastIndex();
        this.desiredVoters = desiredVoters > 0 ? desiredVoters : oddAbove(membership());
        updateFollowers(now);
    }

    /**
     * Returns the number of voters that a membership under repair should come back to.
     *
     * @param membership the membership
     * @return the next odd number
     */
    private static int oddAbove(Membership membership) {
        int size = membership.voters().size();
        return size % 2 == 0 ? size + 1 : size;
    }

    /**
     * Returns the index of the first entry of the term.
     *
     * @return the index
     */
    long firstIndex() {
        return firstIndex;
    }

    /**
     * Sends what is due and moves a repair on.
     *
     * @param now the present time
     */
    void tick(long now) {
        advanceRepair(now);
        followers.forEach((replica, progress) -> {
            if (progress.isHeartbeatDue(now, timing.heartbeatIntervalMillis())) {
                if (now - progress.acknowledgedSend() > LOST_AFTER_HEARTBEATS * timing.heartbeatIntervalMillis()) {
                    progress.restart();
                }
                send(replica, progress, now);
            }
        });
    }

    /**
     * Sends new entries to every follower that has room.
     *
     * @param now the present time
     */
    void replicate(long now) {
        followers.forEach((replica, progress) -> {
            if (progress.hasRoom()) {
                send(replica, progress, now);
            }
        });
    }

    /**
     * Takes note of own durable entries.
     *
     * @param index the last durable index
     * @param now the present time
     */
    void persisted(long index, long now) {
        ownMatch = Math.max(ownMatch, index);
        advanceCommit(now);
    }

    /**
     * Takes a follower's reply.
     *
     * @param reply the reply
     * @param now the present time
     */
    void takeReply(AppendReply reply, long now) {
        FollowerProgress progress = followers.get(reply.from());
        if (progress == null) {
            return;
        }
        if (reply.success()) {
            progress.succeeded(reply.matchIndex(), reply.sentAt());
            advanceCommit(now);
        } else {
            progress.mismatched(reply.matchIndex(), reply.sentAt());
        }
        if (followers.containsKey(reply.from()) && progress.nextIndex() <= log.lastIndex() && progress.hasRoom()) {
            send(reply.from(), progress, now);
        }
    }

    /**
     * Takes in a replica as a learner.
     *
     * @param member the replica
     * @param replaces the host whose voter it replaces
     * @param now the present time
     */
    void join(Member member, HostName replaces, long now) {
        replacements.put(member.replica(), replaces);
        boolean known = membership().find(member.replica()).isPresent();
        if (!known && mayChangeMembership()) {
            change(membership().withLearner(member), now);
        }
    }

    /**
     * Tells whether a quorum has been silent for so long that another leader may have been elected.
     *
     * @param now the present time
     * @return whether leadership is lost
     */
    boolean hasLostQuorum(long now) {
        return now - quorumContact(now) > timing.maximumElectionTimeoutMillis();
    }

    /**
     * Returns the time of the latest send that a quorum has acknowledged.
     *
     * @param now the present time
     * @return the time
     */
    private long quorumContact(long now) {
        long[] contacts = membership().voters().stream()
                .mapToLong(member -> member.replica().equals(self)
                        ? now
                        : followers.get(member.replica()).acknowledgedSend())
                .sorted()
                .toArray();
        return contacts[contacts.length - membership().quorum()];
    }

    /**
     * Commits what a quorum has made durable.
     *
     * @param now the present time
     */
    private void advanceCommit(long now) {
        long[] matches = membership().voters().stream()
                .mapToLong(member -> member.replica().equals(self)
                        ? ownMatch
                        : followers.get(member.replica()).matchIndex())
                .sorted()
                .toArray();
        long candidate = matches[matches.length - membership().quorum()];
        if (candidate >= firstIndex && candidate > replicaLog.commitIndex()) {
            replicaLog.commit(candidate);
            if (!membership().isVoter(self) && candidate >= replicaLog.membershipIndex()) {
                core.follow(core.term(), null, now);
            }
        }
    }

    /**
     * Sends entries, a snapshot or a sign of life to a follower.
     *
     * @param replica the follower
     * @param progress what is known of it
     * @param now the present time
     */
    private void send(ReplicaId replica, FollowerProgress progress, long now) {
        if (progress.isAwaitingSnapshot(now)) {
            replicaLog.effects().sendEarly(replica, new AppendRequest(self, core.term(), 0, 0, List.of(), 0, now));
            progress.sent(progress.nextIndex() - 1, now);
            return;
        }
        long previous = progress.nextIndex() - 1;
        long previousTerm = log.term(previous);
        if (previousTerm < 0) {
            replicaLog.effects().sendEarly(replica, new SnapshotRequest(self, core.term(), log.snapshot(), now));
            progress.snapshotSent(log.snapshot().index(), now);
            return;
        }
        List<LogEntry> entries =
                progress.hasRoom() ? log.slice(progress.nextIndex(), MAX_BATCH_ENTRIES, MAX_BATCH_BYTES) : List.of();
        replicaLog
                .effects()
                .sendEarly(
                        replica,
                        new AppendRequest(
                                self, core.term(), previous, previousTerm, entries, replicaLog.commitIndex(), now));
        progress.sent(previous + entries.size(), now);
    }

    /**
     * Moves the repair of the membership on by one change: the voter that a caught-up learner replaces leaves, then
     * the learner votes.
     *
     * @param now the present time
     */
    private void advanceRepair(long now) {
        if (!mayChangeMembership()) {
            return;
        }
        for (Member learner : membership().learners()) {
            FollowerProgress progress = followers.get(learner.replica());
            if (progress == null || progress.matchIndex() < replicaLog.commitIndex()) {
                continue;
            }
            HostName replaced = replacements.getOrDefault(learner.replica(), learner.host());
            Optional<Member> predecessor = membership().voterOn(replaced);
            if (predecessor.isPresent() && !predecessor.get().replica().equals(self)) {
                change(membership().without(predecessor.get().replica()), now);
                return;
            }
            int voters = membership().voters().size();
            boolean wanted = voters < desiredVoters
                    || voters == desiredVoters && silentVoter(now).isPresent();
            if (predecessor.isEmpty() && wanted) {
                change(membership().withVoter(learner), now);
                return;
            }
        }
        if (membership().voters().size() > desiredVoters) {
            silentVoter(now).ifPresent(voter -> change(membership().without(voter.replica()), now));
        }
    }

    /**
     * Finds a voter that has been silent for long.
     *
     * @param now the present time
     * @return the voter that was silent for longest
     */
    private Optional<Member> silentVoter(long now) {
        return membership().voters().stream()
                .filter(member -> !member.replica().equals(self))
                .filter(member -> now - followers.get(member.replica()).acknowledgedSend() > LOST_VOTER_MS)
                .min(Comparator.comparingLong(
                        member -> followers.get(member.replica()).acknowledgedSend()));
    }

    /**
     * Tells whether a quorum has answered a message that was sent since a time.
     *
     * @param since the time
     * @param now the present time
     * @return whether it has
     */
    boolean isLeadershipConfirmedSince(long since, long now) {
        return replicaLog.commitIndex() >= firstIndex && quorumContact(now) > since;
    }

    /**
     * Sends heartbeats unless they were just sent.
     *
     * @param now the present time
     */
    void requestLeadershipConfirmation(long now) {
        followers.forEach((replica, progress) -> {
            if (progress.isHeartbeatDue(now, CONFIRMATION_INTERVAL_MS)) {
                send(replica, progress, now);
            }
        });
    }

    /**
     * Tells whether the last change is committed and the term has begun, so that another change is safe.
     *
     * @return whether the membership may change
     */
    private boolean mayChangeMembership() {
        return replicaLog.commitIndex() >= firstIndex && replicaLog.commitIndex() >= replicaLog.membershipIndex();
    }

    /**
     * Proposes a membership.
     *
     * @param changed the membership
     * @param now the present time
     */
    private void change(Membership changed, long now) {
        replicaLog.appendOwn(core.term(), EntryKind.MEMBERSHIP, MembershipHistory.encode(changed));
        updateFollowers(now);
        replicate(now);
    }

    /**
     * Begins to follow new replicas and forgets removed ones.
     *
     * @param now the present time
     */
    private void updateFollowers(long now) {
        membership()
                .members()
                .filter(member -> !member.replica().equals(self))
                .forEach(member -> followers.computeIfAbsent(
                        member.replica(), added -> new FollowerProgress(log.lastIndex() + 1, now)));
        followers.keySet().removeIf(replica -> membership().find(replica).isEmpty());
    }

    /**
     * Returns the membership in force.
     *
     * @return the membership
     */
    private Membership membership() {
        return replicaLog.membership();
    }
}
