package org.bamboohatch.replication.driver;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;

import org.bamboohatch.kernel.id.ReplicaId;
import org.bamboohatch.replication.message.FounderBallot;
import org.bamboohatch.replication.message.Member;
import org.bamboohatch.replication.message.ReplicaMessage.FounderReply;
import org.bamboohatch.replication.message.ReplicaMessage.FounderRequest;

/**
 * Elects the replica that founds the group if no configured peer has a disk: the proposer of single-decree Paxos, with the
 * peers as acceptors. Replicas that do not know of each other thus agree on one founder, also while a minority of the peers
 * is down or has restarted.
 */
final class FounderElection {

    private final Member self;

    private final List<String> peers;

    /** Proposer of this start of the process. After a restart, a ballot of its own must not be used again. */
    private final ReplicaId proposer;

    private long round;

    /** The ballot of the current attempt, or null before the first one. */
    private FounderBallot ballot;

    /** The founder that the peers are asked to accept, or null while they are asked for promises. */
    private Member proposed;

    /** Replies that granted the current phase, by address. */
    private final Map<String, FounderReply> granted = new HashMap<>();

    /** The elected founder, or null. */
    private Member elected;

    /**
     * Creates an election without an attempt.
     *
     * @param self the replica that proposes itself unless a founder may be elected already
     * @param peers the addresses of the acceptors, the same at all replicas
     * @param proposer identifies this start of the process
     */
    FounderElection(Member self, List<String> peers, ReplicaId proposer) {
        this.self = self;
        this.proposer = proposer;
        this.peers = List.copyOf(peers);
    }

    /**
     * Begins an attempt, which ends an earlier one.
     *
     * @return the request to send to all peers
     */
    FounderRequest begin() {
        round++;
        ballot = new FounderBallot(round, proposer);
        proposed = null;
        granted.clear();
        return new FounderRequest(self.replica(), self.address(), ballot, null);
    }

    /**
     * Handles the reply of a peer. Replies to earlier attempts or phases are ignored.
     *
     * @param reply the reply
     * @return the request to send to all peers if the next phase begins
     */
    Optional<FounderRequest> handle(FounderReply reply) {
        round = Math.max(round, reply.promised().round());
        boolean expected = reply.ballot().equals(ballot) && Objects.equals(reply.founder(), proposed);
        if (!expected || !reply.wasGranted() || !peers.contains(reply.address())) {
            return Optional.empty();
        }
        granted.put(reply.address(), reply);
        if (granted.size() <= peers.size() / 2) {
            return Optional.empty();
        }
        if (proposed != null) {
            elected = proposed;
            return Optional.empty();
        }
        proposed = granted.values().stream()
                .filter(promise -> promise.accepted() != null)
                .max(Comparator.comparing(FounderReply::acceptedIn))
                .map(FounderReply::accepted)
                .orElse(self);
        granted.clear();
        return Optional.of(new FounderRequest(self.replica(), self.address(), ballot, proposed));
    }

    /**
     * Returns the replica that founds the group.
     *
     * @return the elected founder, empty until a majority of the peers has accepted it in one ballot
     */
    Optional<Member> elected() {
        return Optional.ofNullable(elected);
    }

    /**
     * Returns the number of peers that have granted the current phase.
     *
     * @return the number of peers
     */
    int grants() {
        return granted.size();
    }
}
