package org.bamboohatch.replication.message;

import java.util.List;
import java.util.Optional;
import java.util.stream.Stream;

import org.bamboohatch.kernel.id.HostName;
import org.bamboohatch.kernel.id.ReplicaId;

/**
 * The replicas of the log.
 *
 * @param voters the replicas that elect and commit
 * @param learners the replicas that only receive
 */
public record Membership(List<Member> voters, List<Member> learners) {

    /** A membership without replicas. */
    public static final Membership EMPTY = new Membership(List.of(), List.of());

    /** Makes the lists immutable. */
    public Membership {
        voters = List.copyOf(voters);
        learners = List.copyOf(learners);
    }

    /**
     * Returns the number of voters that decide.
     *
     * @return the smallest majority
     */
    public int quorum() {
        return voters.size() / 2 + 1;
    }

    /**
     * Tells whether a replica votes.
     *
     * @param replica the replica
     * @return whether it is a voter
     */
    public boolean isVoter(ReplicaId replica) {
        return voters.stream().anyMatch(member -> member.replica().equals(replica));
    }

    /**
     * Finds a replica.
     *
     * @param replica the replica
     * @return the voter or learner
     */
    public Optional<Member> find(ReplicaId replica) {
        return members().filter(member -> member.replica().equals(replica)).findFirst();
    }

    /**
     * Finds the voter on a host.
     *
     * @param host the host
     * @return the voter
     */
    public Optional<Member> voterOn(HostName host) {
        return voters.stream().filter(member -> member.host().equals(host)).findFirst();
    }

    /**
     * Lists voters and learners.
     *
     * @return every replica
     */
    public Stream<Member> members() {
        return Stream.concat(voters.stream(), learners.stream());
    }

    /**
     * Returns a copy with one more learner; older learners of the same host are dropped.
     *
     * @param member the learner
     * @return the copy
     */
    public Membership withLearner(Member member) {
        Stream<Member> others = learners.stream().filter(other -> !other.host().equals(member.host()));
        return new Membership(voters, Stream.concat(others, Stream.of(member)).toList());
    }

    /**
     * Returns a copy in which a learner votes.
     *
     * @param member the learner
     * @return the copy
     */
    public Membership withVoter(Member member) {
        Stream<Member> others = learners.stream().filter(other -> !other.equals(member));
        return new Membership(Stream.concat(voters.stream(), Stream.of(member)).toList(), others.toList());
    }

    /**
     * Returns a copy without a replica.
     *
     * @param replica the replica
     * @return the copy
     */
    public Membership without(ReplicaId replica) {
        return new Membership(
                voters.stream()
                        .filter(member -> !member.replica().equals(replica))
                        .toList(),
                learners.stream()
                        .filter(member -> !member.replica().equals(replica))
                        .toList());
    }
}
