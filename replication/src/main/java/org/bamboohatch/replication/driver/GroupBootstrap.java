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
 * when every configured peer reports an empty data folder. A replica that has lost its disk receives replies from
 * members of the existing group and joins it under a new identity.
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
     * @param peers the addresses of the initial members, including this replica
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
        List<Member> voters = founders.stream().map(emptyReplicas::get).toList();
        return Optional.of(new Snapshot(BOOTSTRAP_INDEX, 0, new Membership(voters, List.of()), new byte[0]));
    }
}
