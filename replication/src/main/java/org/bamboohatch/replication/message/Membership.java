package org.bamboohatch.replication.message;

import java.util.List;
import java.util.Optional;
import java.util.stream.Stream;

import org.bamboohatch.kernel.id.HostName;
import org.bamboohatch.kernel.id.ReplicaId;

/**
 * The members of a replication group.
 *
 * @param voters the replicas that vote in elections and count towards the commit quorum
 * @param learners the replicas that receive log entries without voting
 */
public record Membership(List<Member> voters, List<Member> learners) {

    /** A membership without any replica. */
    public static final Membership EMPTY = new Membership(List.of(), List.of());

    /** Copies both lists. */
    public Membership {
        voters = List.copyOf(voters);
        learners = List.copyOf(learners);
    }

    /**
     * Returns the size of the smallest majority of voters.
     *
     * @return the number of voters
     */
    public int quorum() {
        return voters.size() / 2 + 1;
    }

    /**
     * Indicates whether a replica is a voter.
     *
     * @param replica the identity of the replica
     * @return {@code true} if the replica is a voter
     */
    public boolean isVoter(ReplicaId replica) {
        return voters.stream().anyMatch(member -> member.replica().equals(replica));
    }

    /**
     * Returns the member with an identity.
     *
     * @param replica the identity of the replica
     * @return the voter or learner, or empty if the replica is not a member
     */
    public Optional<Member> find(ReplicaId replica) {
        return members().filter(member -> member.replica().equals(replica)).findFirst();
    }

    /**
     * Returns the voter on a host.
     *
     * @param host the host name
     * @return the first such voter, or empty if there is none
     */
    public Optional<Member> voterOn(HostName host) {
        return voters.stream().filter(member -> member.host().equals(host)).findFirst();
    }

    /**
     * Returns all members, voters first.
     *
     * @return the voters and learners
     */
    public Stream<Member> members() {
        return Stream.concat(voters.stream(), learners.stream());
    }

    /**
     * Returns a copy with an additional learner that replaces other learners on the same host.
     *
     * @param member the learner to add
     * @return the changed membership
     */
    public Membership withLearner(Member member) {
        Stream<Member> others = learners.stream().filter(other -> !other.host().equals(member.host()));
        return new Membership(voters, Stream.concat(others, Stream.of(member)).toList());
    }

    /**
     * Returns a copy in which a learner is promoted to a voter.
     *
     * @param member the learner to promote
     * @return the changed membership
     */
    public Membership withVoter(Member member) {
        Stream<Member> others = learners.stream().filter(other -> !other.equals(member));
        return new Membership(Stream.concat(voters.stream(), Stream.of(member)).toList(), others.toList());
    }

    /**
     * Returns a copy in which a voter becomes a learner.
     *
     * @param voter the voter that loses its vote
     * @return the changed membership
     */
    public Membership withoutVote(Member voter) {
        Stream<Member> others = voters.stream().filter(other -> !other.equals(voter));
        return new Membership(
                others.toList(),
                Stream.concat(learners.stream(), Stream.of(voter)).toList());
    }

    /**
     * Returns a copy without a replica.
     *
     * @param replica the identity of the voter or learner to remove
     * @return the changed membership
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
