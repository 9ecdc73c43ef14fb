package org.bamboohatch.replication.driver;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.bamboohatch.replication.message.Member;
import org.bamboohatch.replication.message.Membership;
import org.bamboohatch.replication.message.ReplicaMessage.ProbeReply;
import org.bamboohatch.replication.message.Snapshot;

/**
 * Decides how a replica with an empty folder begins. A group is formed only when every configured host answers with
 * an empty folder; a replica that lost its disk is answered by formed ones and joins them under its new identity.
 */
final class GroupBootstrap {

    /** Index of the snapshot that every founding member begins with. */
    private static final long FOUNDING_INDEX = 1;

    /** This replica. */
    private final Member self;

    /** Addresses of the founding replicas. */
    private final List<String> peers;

    /** Whether a group may be formed. */
    private final boolean mayFound;

    /** Replies of empty hosts by address. */
    private final Map<String, Member> empty = new HashMap<>();

    /** Replies of hosts that belong to a group, by address. */
    private final Map<String, Member> formed = new HashMap<>();

    /**
     * Creates the decision.
     *
     * @param self this replica
     * @param peers addresses of the founding replicas
     * @param mayFound whether a group may be formed
     */
    GroupBootstrap(Member self, List<String> peers, boolean mayFound) {
        this.self = self;
        this.peers = peers;
        this.mayFound = mayFound;
        empty.put(self.address(), self);
    }

    /**
     * Takes the reply of a host.
     *
     * @param reply the reply
     */
    void take(ProbeReply reply) {
        String address = reply.member().address();
        if (reply.formed()) {
            empty.remove(address);
            formed.put(address, reply.member());
        } else {
            formed.remove(address);
            empty.put(address, reply.member());
        }
    }

    /**
     * Tells whether a snapshot is the one that founding members begin with.
     *
     * @param snapshot the snapshot
     * @return whether nothing has been compacted since the group was formed
     */
    static boolean isFounding(Snapshot snapshot) {
        return snapshot.index() == FOUNDING_INDEX;
    }

    /**
     * Lists the replicas that belong to a group.
     *
     * @return the replicas that this one may ask to be taken in
     */
    List<Member> formed() {
        return List.copyOf(formed.values());
    }

    /**
     * Returns the snapshot to begin with, if this replica is to form the group.
     *
     * @return the snapshot, if every configured host is empty and this is the first by address
     */
    Optional<Snapshot> foundingSnapshot() {
        boolean allEmpty = mayFound && formed.isEmpty() && peers.stream().allMatch(empty::containsKey);
        boolean first =
                peers.stream().min(Comparator.naturalOrder()).orElseThrow().equals(self.address());
        if (!allEmpty || !first) {
            return Optional.empty();
        }
        List<Member> voters = peers.stream().sorted().map(empty::get).toList();
        return Optional.of(new Snapshot(FOUNDING_INDEX, 0, new Membership(voters, List.of()), new byte[0]));
    }
}
