package org.bamboohatch.replication.driver;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.bamboohatch.kernel.id.ReplicaId;
import org.bamboohatch.replication.message.Member;
import org.bamboohatch.replication.message.Membership;
import org.bamboohatch.replication.message.ReplicaMessage.NoReplica;
import org.bamboohatch.replication.message.ReplicaMessage.ProbeReply;
import org.bamboohatch.replication.message.Snapshot;

/**
 * Decides how a replica with an empty data folder joins or bootstraps a replication group. A group is bootstrapped only
 * when every configured peer reports an empty data folder or no disk. If none of them has a disk, the replicas elect the one
 * that founds the group alone, and the others join it. A replica that has lost its disk receives replies from members of the
 * existing group and joins it under a new identity.
 */
final class GroupBootstrap {

    /** Index of the bootstrap snapshot, with which all initial members start. */
    private static final long BOOTSTRAP_INDEX = 1;

    private final Member self;

    private final List<String> peers;

    private final boolean bootstrapAllowed;

    /** Replicas without a group, by address. */
    private final Map<String, Member> emptyReplicas = new HashMap<>();

    /** Replicas that are members of a group, by address. */
    private final Map<String, Member> formedReplicas = new HashMap<>();

    /** Addresses of control processes without a disk, which cannot be members. */
    private final Set<String> diskless = new HashSet<>();

    /** Address of the leader that a control process without a disk has named latest, or an empty string. */
    private String referral = "";

    /** Whether the replicas that have answered since the latest summary are members of a group. */
    private final Map<ReplicaId, Boolean> answers = new HashMap<>();

    /**
     * Creates the bootstrap state of a replica.
     *
     * @param self this replica
     * @param peers the addresses of the control processes that bootstrap a group, the same at all replicas
     * @param bootstrapAllowed whether a new group may be bootstrapped
     */
    GroupBootstrap(Member self, List<String> peers, boolean bootstrapAllowed) {
        this.self = self;
        this.peers = peers;
        this.bootstrapAllowed = bootstrapAllowed;
        emptyReplicas.put(self.address(), self);
    }

    void handleProbeReply(ProbeReply reply) {
        String address = reply.member().address();
        answers.put(reply.from(), reply.formed());
        diskless.remove(address);
        if (reply.formed()) {
            emptyReplicas.remove(address);
            formedReplicas.put(address, reply.member());
        } else {
            formedReplicas.remove(address);
            emptyReplicas.put(address, reply.member());
        }
    }

    void handleNoReplica(NoReplica reply) {
        emptyReplicas.remove(reply.address());
        formedReplicas.remove(reply.address());
        diskless.add(reply.address());
        referral = reply.leader();
    }

    /**
     * Returns the address of the leader that a control process without a disk has named latest.
     *
     * @return the address, host and port, or empty if none was named
     */
    Optional<String> referral() {
        return Optional.of(referral).filter(address -> !address.isEmpty());
    }

    /**
     * Indicates whether a founder must be elected among replicas that the settings do not name.
     *
     * @return {@code true} if a group may be bootstrapped, no configured peer has a disk, and no group is known
     */
    boolean isFounderElectionDue() {
        return bootstrapAllowed
                && formedReplicas.isEmpty()
                && referral.isEmpty()
                && !peers.isEmpty()
                && diskless.containsAll(peers);
    }

    /**
     * Returns the configured peers that have not answered, for which the bootstrap of a group waits.
     *
     * @return the addresses
     */
    List<String> unansweredPeers() {
        return peers.stream()
                .filter(peer -> !diskless.contains(peer)
                        && !emptyReplicas.containsKey(peer)
                        && !formedReplicas.containsKey(peer))
                .toList();
    }

    /**
     * Explains to operators why a replica with an empty data folder has neither joined nor bootstrapped a group.
     *
     * @param founderVotes number of peers that have voted in the latest attempt to elect a founder
     * @return what is lacking, for the log
     */
    String explainMissingGroup(int founderVotes) {
        if (!formedReplicas.isEmpty()) {
            return "a group is known, but its leader has not admitted this replica yet";
        } else if (!bootstrapAllowed) {
            return "no group is known, and the settings do not allow this replica to bootstrap one";
        } else if (!unansweredPeers().isEmpty()) {
            return "a new group waits for the answers of " + unansweredPeers();
        } else if (diskless.containsAll(peers)) {
            return "none of " + peers + " has a disk, so " + (peers.size() / 2 + 1)
                    + " of them that have not restarted must elect a founder; " + founderVotes + " have voted";
        }
        return "a new group waits for its founder among " + peers;
    }

    /**
     * Summarizes which replicas have answered since the previous summary. Voters that do not answer are down or cut off;
     * replicas with an empty data folder in their place show that disks were lost.
     *
     * @param membership the membership in force at this replica
     * @return the summary, for the log
     */
    String summarizeAnswers(Membership membership) {
        long voters = membership.voters().stream()
                .map(Member::replica)
                .filter(replica -> replica.equals(self.replica()) || answers.getOrDefault(replica, false))
                .count();
        long empty = answers.values().stream().filter(formed -> !formed).count();
        answers.clear();
        return voters + " of " + membership.voters().size() + " voters answer, " + membership.quorum()
                + " are needed, and " + empty + " other replicas have an empty data folder";
    }

    /**
     * Indicates whether a snapshot is the bootstrap snapshot, so that no compaction has taken place since the
     * bootstrap.
     *
     * @param snapshot the latest snapshot
     * @return {@code true} for the bootstrap snapshot
     */
    static boolean isBootstrapSnapshot(Snapshot snapshot) {
        return snapshot.index() == BOOTSTRAP_INDEX;
    }

    /**
     * Returns the members of an existing group, to which join requests can be sent.
     *
     * @return the replicas that reported their membership in a group
     */
    List<Member> formedReplicas() {
        return List.copyOf(formedReplicas.values());
    }

    /**
     * Returns the bootstrap snapshot if this replica must bootstrap the group. Its members are the configured peers with a
     * disk. Only the one with the lowest address does so, so that a single group is formed.
     *
     * @return the snapshot, or empty unless every configured peer is known to be empty or to have no disk
     */
    Optional<Snapshot> bootstrapSnapshot() {
        List<String> founders =
                peers.stream().filter(peer -> !diskless.contains(peer)).sorted().toList();
        boolean allEmpty = bootstrapAllowed
                && formedReplicas.isEmpty()
                && founders.stream().allMatch(emptyReplicas::containsKey);
        boolean hasLowestAddress = !founders.isEmpty() && founders.get(0).equals(self.address());
        if (!allEmpty || !hasLowestAddress) {
            return Optional.empty();
        }
        return Optional.of(snapshotOf(founders.stream().map(emptyReplicas::get).toList()));
    }

    /**
     * Returns the bootstrap snapshot of a group with a single initial member.
     *
     * @param founder the member
     * @return the snapshot
     */
    static Snapshot snapshotOf(Member founder) {
        return snapshotOf(List.of(founder));
    }

    private static Snapshot snapshotOf(List<Member> voters) {
        return new Snapshot(BOOTSTRAP_INDEX, 0, new Membership(voters, List.of()), new byte[0]);
    }
}
