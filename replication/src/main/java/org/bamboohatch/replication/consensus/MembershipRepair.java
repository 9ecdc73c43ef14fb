package org.bamboohatch.replication.consensus;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.bamboohatch.kernel.id.HostName;
import org.bamboohatch.kernel.id.ReplicaId;
import org.bamboohatch.replication.message.Member;
import org.bamboohatch.replication.message.Membership;

/**
 * Decides how a leader keeps the desired number of votes with replicas that answer and stay. A learner that is ready takes
 * the vote of a voter that is unresponsive, about to stop, or superseded by the learner. It is promoted first, so that a
 * group whose voters all answer tolerates a loss in each step. The former voter becomes a learner: if it returns, it is
 * available without joining again.
 */
final class MembershipRepair {

    /** Time without an acknowledgement after which a learner is removed. It joins again when it returns. */
    static final long LOST_LEARNER_TIMEOUT_MS = 10_000;

    private static final Comparator<Member> OLDEST_FIRST = Comparator.comparingLong(Member::admittedAt);

    private final ReplicaId self;

    private final ConsensusTiming timing;

    private final int desiredVoters;

    /** Hosts whose voters are replaced, by the identity of the replacing learner. */
    private final Map<ReplicaId, HostName> replacements = new HashMap<>();

    /**
     * Creates the repair of a term.
     *
     * @param self the identity of the leader
     * @param timing election timeouts, by which followers count as unresponsive
     * @param desiredVoters the number of voters to restore
     */
    MembershipRepair(ReplicaId self, ConsensusTiming timing, int desiredVoters) {
        this.self = self;
        this.timing = timing;
        this.desiredVoters = desiredVoters;
    }

    int desiredVoters() {
        return desiredVoters;
    }

    void recordReplacement(ReplicaId learner, HostName replaced) {
        replacements.put(learner, replaced);
    }

    /**
     * Returns the next change of the membership. A ready learner first causes the removal of the voter that it replaces,
     * such as the one whose disk its host has lost.
     *
     * @param membership the membership in force, which is committed
     * @param followers the progress of all members but the leader
     * @param commitIndex the commit index of the leader
     * @param now the current time in milliseconds
     * @return the changed membership, empty if nothing is to be changed
     */
    Optional<Membership> next(
            Membership membership, Map<ReplicaId, FollowerProgress> followers, long commitIndex, long now) {
        for (Member learner : membership.learners()) {
            if (!isReady(followers.get(learner.replica()), commitIndex, now)) {
                continue;
            }
            HostName replaced = replacements.getOrDefault(learner.replica(), learner.host());
            Optional<Member> replacedVoter = membership.voterOn(replaced);
            if (replacedVoter.isPresent() && !replacedVoter.get().replica().equals(self)) {
                return Optional.of(membership.without(replacedVoter.get().replica()));
            }
            if (replacedVoter.isEmpty() && isNeeded(learner, membership, followers, now)) {
                return Optional.of(membership.withVoter(learner));
            }
        }
        if (membership.voters().size() > desiredVoters) {
            return replaceable(membership, followers, now).map(membership::withoutVote);
        }
        return membership.learners().stream()
                .filter(learner -> silenceMillis(learner, followers, now) > LOST_LEARNER_TIMEOUT_MS)
                .findFirst()
                .map(learner -> membership.without(learner.replica()));
    }

    /**
     * Indicates whether the leader is the voter to lose its vote, which takes another leader to propose.
     *
     * @param membership the membership in force
     * @return {@code true} if there are more voters than desired and the leader is the only superseded one
     */
    boolean isLeaderSuperseded(Membership membership) {
        List<Member> superseded = membership.voters().stream()
                .filter(voter -> isSuperseded(voter, membership))
                .toList();
        return membership.voters().size() > desiredVoters
                && superseded.size() == 1
                && superseded.get(0).replica().equals(self);
    }

    /**
     * Indicates whether a learner can take a vote.
     *
     * @param progress the progress of the learner
     * @param commitIndex the commit index of the leader
     * @param now the current time in milliseconds
     * @return {@code true} if it stays, answers and holds all committed entries
     */
    private boolean isReady(FollowerProgress progress, long commitIndex, long now) {
        return progress != null
                && !progress.isLeaving()
                && progress.matchIndex() >= commitIndex
                && now - progress.lastAcknowledgedSend() <= timing.maximumElectionTimeoutMillis();
    }

    /**
     * Indicates whether a ready learner takes a vote. The limit of its silence is shorter than that of a lost voter, so that
     * of two hosts that are lost together one does not replace the other.
     *
     * @param learner the learner
     * @param membership the membership in force
     * @param followers the progress of all members but the leader
     * @param now the current time in milliseconds
     * @return {@code true} if there are too few voters, or exactly the desired number and the learner replaces one of them
     */
    private boolean isNeeded(
            Member learner, Membership membership, Map<ReplicaId, FollowerProgress> followers, long now) {
        int missing = desiredVoters - membership.voters().size();
        if (missing != 0) {
            return missing > 0;
        }
        boolean answers = silenceMillis(learner, followers, now) <= timing.minimumElectionTimeoutMillis();
        return answers && lostOrLeaving(membership, followers, now).isPresent()
                || membership.voters().stream().anyMatch(learner::isSuccessorOf);
    }

    /**
     * Returns the voter other than the leader that is to lose its vote first.
     *
     * @param membership the membership in force
     * @param followers the progress of all members but the leader
     * @param now the current time in milliseconds
     * @return a voter that is lost or leaves, or else the oldest one that another voter supersedes
     */
    private Optional<Member> replaceable(Membership membership, Map<ReplicaId, FollowerProgress> followers, long now) {
        return lostOrLeaving(membership, followers, now).or(() -> membership.voters().stream()
                .filter(voter -> !voter.replica().equals(self))
                .filter(voter -> isSuperseded(voter, membership))
                .min(OLDEST_FIRST));
    }

    /**
     * Returns a voter other than the leader that does not answer or is about to stop.
     *
     * @param membership the membership in force
     * @param followers the progress of all members but the leader
     * @param now the current time in milliseconds
     * @return the voter that has been unresponsive for the longest time, or else one that leaves
     */
    private Optional<Member> lostOrLeaving(
            Membership membership, Map<ReplicaId, FollowerProgress> followers, long now) {
        return membership.voters().stream()
                .filter(voter -> !voter.replica().equals(self))
                .filter(voter -> silenceMillis(voter, followers, now) > timing.maximumElectionTimeoutMillis())
                .max(Comparator.comparingLong(voter -> silenceMillis(voter, followers, now)))
                .or(() -> membership.voters().stream()
                        .filter(voter -> !voter.replica().equals(self))
                        .filter(voter -> followers.get(voter.replica()).isLeaving())
                        .findFirst());
    }

    private static boolean isSuperseded(Member voter, Membership membership) {
        return membership.voters().stream().anyMatch(other -> other.isSuccessorOf(voter));
    }

    /**
     * Returns the time since the latest acknowledged message to a follower was sent.
     *
     * @param follower the voter or learner
     * @param followers the progress of all members but the leader
     * @param now the current time in milliseconds
     * @return the time in milliseconds
     */
    private static long silenceMillis(Member follower, Map<ReplicaId, FollowerProgress> followers, long now) {
        return now - followers.get(follower.replica()).lastAcknowledgedSend();
    }
}
