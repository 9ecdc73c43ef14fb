package org.bamboohatch.replication.consensus;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.bamboohatch.kernel.id.ReplicaId;
import org.bamboohatch.replication.message.EntryKind;
import org.bamboohatch.replication.message.LogEntry;
import org.bamboohatch.replication.message.Member;
import org.bamboohatch.replication.message.Membership;
import org.bamboohatch.replication.message.ReplicaMessage.AppendReply;
import org.bamboohatch.replication.message.ReplicaMessage.AppendRequest;
import org.bamboohatch.replication.message.ReplicaMessage.JoinRequest;
import org.bamboohatch.replication.message.ReplicaMessage.SnapshotRequest;

/** State and decisions of a replica while it is the leader. */
final class Leadership {

    private static final int MAX_BATCH_ENTRIES = 512;

    /** Limit of the entry data in one append, in bytes. A single larger entry is sent on its own. */
    private static final int MAX_BATCH_BYTES = 1024 * 1024;

    /** Heartbeat intervals without an acknowledgement after which unanswered appends are considered lost. */
    private static final int APPEND_LOSS_TIMEOUT_HEARTBEATS = 4;

    /** Minimum time between two attempts to hand leadership over to a replica that keeps its vote, in milliseconds. */
    private static final long HAND_OVER_INTERVAL_MS = 5_000;

    /** Minimum time between two rounds of heartbeats that are triggered by reads. */
    private static final long MIN_CONFIRMATION_INTERVAL_MS = 8;

    private final ConsensusCore core;

    private final ReplicaId self;

    private final ConsensusTiming timing;

    private final ReplicaLog replicaLog;

    private final MemoryLog log;

    /** Index of the first entry of the leader's term. */
    private final long termStartIndex;

    private final MembershipRepair repair;

    private final Map<ReplicaId, FollowerProgress> followers = new HashMap<>();

    /** Time until which leadership is being handed over and no proposals are accepted, in milliseconds. */
    private long transferUntil = Long.MIN_VALUE;

    /** Time from which a superseded leader may attempt again to hand over, in milliseconds. */
    private long nextHandOver = Long.MIN_VALUE;

    /** Index of the last entry that is durable at the leader itself. */
    private long ownMatchIndex;

    /**
     * Starts leadership at the current end of the log.
     *
     * @param core the consensus state of the replica
     * @param self the identity of the replica
     * @param timing election timeouts and heartbeat interval
     * @param replicaLog the log of the replica
     * @param desiredVoters the number of voters to restore, or zero for the current number rounded up to an odd one
     * @param now the current time in milliseconds
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
        this.termStartIndex = log.lastIndex() + 1;
        this.ownMatchIndex = log.lastIndex();
        int voters = desiredVoters > 0 ? desiredVoters : nextOddVoterCount(membership());
        this.repair = new MembershipRepair(self, timing, voters);
        updateFollowers(now);
    }

    private static int nextOddVoterCount(Membership membership) {
        int size = membership.voters().size();
        return size % 2 == 0 ? size + 1 : size;
    }

    long termStartIndex() {
        return termStartIndex;
    }

    /**
     * Steps down if the quorum is lost; otherwise advances the membership repair and sends due heartbeats. Entries are sent
     * again to followers that have not acknowledged recent appends.
     *
     * @param now the current time in milliseconds
     */
    void tick(long now) {
        if (hasLostQuorum(now)) {
            core.becomeFollower(core.term(), null, now);
            return;
        }
        advanceMembershipRepair(now);
        followers.forEach((replica, progress) -> {
            if (progress.isHeartbeatDue(now, timing.heartbeatIntervalMillis())) {
                if (now - progress.lastAcknowledgedSend()
                        > APPEND_LOSS_TIMEOUT_HEARTBEATS * timing.heartbeatIntervalMillis()) {
                    progress.resetToMatch();
                }
                send(replica, progress, now);
            }
        });
    }

    /**
     * Sends new entries to every follower below its limit of unanswered appends.
     *
     * @param now the current time in milliseconds
     */
    void replicate(long now) {
        followers.forEach((replica, progress) -> {
            if (progress.canSendEntries()) {
                send(replica, progress, now);
            }
        });
    }

    /**
     * Begins to hand leadership over. If no voter holds all entries yet, the first one that does is asked later.
     *
     * @param now the current time in milliseconds
     */
    void beginTransfer(long now) {
        if (!isTransferring(now)) {
            transferUntil = now + timing.minimumElectionTimeoutMillis();
            replicate(now);
            offerLeadership(now);
        }
    }

    boolean isTransferring(long now) {
        return now < transferUntil;
    }

    /**
     * Asks the voter that was in contact last to take over, among those that hold all entries.
     *
     * @param now the current time in milliseconds
     */
    private void offerLeadership(long now) {
        if (!isTransferring(now) || replicaLog.commitIndex() < termStartIndex) {
            return;
        }
        membership().voters().stream()
                .map(Member::replica)
                .filter(replica -> !replica.equals(self))
                .filter(replica -> followers.get(replica).matchIndex() == log.lastIndex())
                .filter(replica -> !followers.get(replica).isLeaving())
                .max(Comparator.comparingLong(replica -> followers.get(replica).lastAcknowledgedSend()))
                .ifPresent(replica -> {
                    AppendRequest request = new AppendRequest(
                            self,
                            core.term(),
                            log.lastIndex(),
                            log.lastTerm(),
                            List.of(),
                            replicaLog.commitIndex(),
                            now,
                            true);
                    replicaLog.effects().sendAfterSync(replica, request);
                    followers.get(replica).onSent(log.lastIndex(), now);
                });
    }

    void onPersisted(long index, long now) {
        ownMatchIndex = Math.max(ownMatchIndex, index);
        advanceCommitIndex(now);
    }

    void handleReply(AppendReply reply, long now) {
        FollowerProgress progress = followers.get(reply.from());
        if (progress == null) {
            return;
        }
        progress.setLeaving(reply.leaving());
        if (reply.success()) {
            progress.onSuccess(reply.matchIndex(), reply.sentAt());
            advanceCommitIndex(now);
            offerLeadership(now);
        } else {
            progress.onMismatch(reply.matchIndex(), reply.sentAt());
        }
        if (followers.containsKey(reply.from())
                && progress.nextIndex() <= log.lastIndex()
                && progress.canSendEntries()) {
            send(reply.from(), progress, now);
        }
    }

    /**
     * Records which host's voter the replica replaces, and adds the replica as a learner if the membership may change.
     *
     * @param request the joining replica and the host whose voter it replaces
     * @param now the current time in milliseconds
     */
    void handleJoin(JoinRequest request, long now) {
        Member member = request.member();
        repair.recordReplacement(member.replica(), request.replaces());
        boolean known = membership().find(member.replica()).isPresent();
        if (!known && mayChangeMembership()) {
            long admittedAt = membership()
                    .members()
                    .filter(other -> other.host().equals(member.host()))
                    .map(Member::admittedAt)
                    .findFirst()
                    .orElse(request.established() ? 0 : log.lastIndex() + 1);
            proposeMembership(membership().withLearner(member.withAdmission(admittedAt)), now);
        }
    }

    /**
     * Indicates whether no quorum has replied for a maximum election timeout, so that another leader may have been
     * elected.
     *
     * @param now the current time in milliseconds
     * @return {@code true} if the leader must step down
     */
    private boolean hasLostQuorum(long now) {
        return now - quorumAcknowledgedSend(now) > timing.maximumElectionTimeoutMillis();
    }

    /**
     * Returns the latest time such that a quorum of voters has acknowledged a message sent at or after it.
     *
     * @param now the current time in milliseconds
     * @return the send time in milliseconds
     */
    private long quorumAcknowledgedSend(long now) {
        long[] contacts = membership().voters().stream()
                .mapToLong(member -> member.replica().equals(self)
                        ? now
                        : followers.get(member.replica()).lastAcknowledgedSend())
                .sorted()
                .toArray();
        return contacts[contacts.length - membership().quorum()];
    }

    /**
     * Commits the entries that are durable at a quorum. Only entries of the current term are committed by counting
     * replicas; older ones commit along with them. A leader that a committed membership excludes steps down.
     *
     * @param now the current time in milliseconds
     */
    private void advanceCommitIndex(long now) {
        long[] matches = membership().voters().stream()
                .mapToLong(member -> member.replica().equals(self)
                        ? ownMatchIndex
                        : followers.get(member.replica()).matchIndex())
                .sorted()
                .toArray();
        long candidate = matches[matches.length - membership().quorum()];
        if (candidate >= termStartIndex && candidate > replicaLog.commitIndex()) {
            replicaLog.commit(candidate);
            if (!membership().isVoter(self) && candidate >= replicaLog.membershipIndex()) {
                core.becomeFollower(core.term(), null, now);
            }
        }
    }

    /**
     * Sends entries, a heartbeat or, if the required entries are already compacted, a snapshot.
     *
     * @param replica the follower
     * @param progress the replication progress of the follower
     * @param now the current time in milliseconds
     */
    private void send(ReplicaId replica, FollowerProgress progress, long now) {
        if (progress.isAwaitingSnapshot(now)) {
            replicaLog.effects().sendBeforeSync(replica, new AppendRequest(self, core.term(), 0, 0, List.of(), 0, now));
            progress.onSent(progress.nextIndex() - 1, now);
            return;
        }
        long previous = progress.nextIndex() - 1;
        long previousTerm = log.term(previous);
        if (previousTerm < 0) {
            replicaLog.effects().sendBeforeSync(replica, new SnapshotRequest(self, core.term(), log.snapshot(), now));
            progress.onSnapshotSent(log.snapshot().index(), now);
            return;
        }
        List<LogEntry> entries = progress.canSendEntries()
                ? log.slice(progress.nextIndex(), MAX_BATCH_ENTRIES, MAX_BATCH_BYTES)
                : List.of();
        replicaLog
                .effects()
                .sendBeforeSync(
                        replica,
                        new AppendRequest(
                                self, core.term(), previous, previousTerm, entries, replicaLog.commitIndex(), now));
        progress.onSent(previous + entries.size(), now);
    }

    /**
     * Advances the repair of the membership by at most one change; only one change is uncommitted at a time. A leader that
     * should give up its vote hands over first.
     *
     * @param now the current time in milliseconds
     */
    private void advanceMembershipRepair(long now) {
        if (!mayChangeMembership()) {
            return;
        }
        Optional<Membership> change = repair.next(membership(), followers, replicaLog.commitIndex(), now);
        if (change.isPresent()) {
            proposeMembership(change.get(), now);
        } else if (now >= nextHandOver && repair.isLeaderSuperseded(membership())) {
            nextHandOver = now + HAND_OVER_INTERVAL_MS;
            beginTransfer(now);
        }
    }

    /**
     * Indicates whether an entry is durable at a majority of the desired voters. A group that has fewer voters commits
     * with fewer copies than its tolerance needs.
     *
     * @param index the index of the entry
     * @return {@code true} if the entry outlives the loss of all disks that the desired number of voters tolerates
     */
    boolean isDurableAsDesired(long index) {
        long copies = followers.values().stream()
                .filter(progress -> progress.matchIndex() >= index)
                .count();
        if (ownMatchIndex >= index) {
            copies++;
        }
        return copies > repair.desiredVoters() / 2;
    }

    boolean isLeadershipConfirmedSince(long since, long now) {
        return replicaLog.commitIndex() >= termStartIndex && quorumAcknowledgedSend(now) > since;
    }

    /**
     * Sends heartbeats to followers that were not sent a message within the minimum confirmation interval.
     *
     * @param now the current time in milliseconds
     */
    void requestLeadershipConfirmation(long now) {
        followers.forEach((replica, progress) -> {
            if (progress.isHeartbeatDue(now, MIN_CONFIRMATION_INTERVAL_MS)) {
                send(replica, progress, now);
            }
        });
    }

    /**
     * Indicates whether the membership may change: the latest change and an entry of the current term must be
     * committed.
     *
     * @return {@code true} if another change is safe
     */
    private boolean mayChangeMembership() {
        return replicaLog.commitIndex() >= termStartIndex && replicaLog.commitIndex() >= replicaLog.membershipIndex();
    }

    private void proposeMembership(Membership changed, long now) {
        replicaLog.appendAsLeader(core.term(), EntryKind.MEMBERSHIP, MembershipHistory.encode(changed));
        updateFollowers(now);
        replicate(now);
    }

    /**
     * Tracks the progress of added replicas and stops tracking removed ones.
     *
     * @param now the current time in milliseconds
     */
    private void updateFollowers(long now) {
        membership()
                .members()
                .filter(member -> !member.replica().equals(self))
                .forEach(member -> followers.computeIfAbsent(
                        member.replica(), added -> new FollowerProgress(log.lastIndex() + 1, now)));
        followers.keySet().removeIf(replica -> membership().find(replica).isEmpty());
    }

    private Membership membership() {
        return replicaLog.membership();
    }
}
