package org.bamboohatch.replication.driver;

import org.bamboohatch.kernel.id.ReplicaId;
import org.bamboohatch.replication.message.FounderBallot;
import org.bamboohatch.replication.message.Member;
import org.bamboohatch.replication.message.ReplicaMessage.FounderReply;
import org.bamboohatch.replication.message.ReplicaMessage.FounderRequest;

/**
 * The votes of a control process without a disk in the election of a founder: the acceptor of single-decree Paxos. They are
 * kept in memory, so a process that restarts must not vote again. Thread-safe.
 */
public final class FounderVotes {

    private final ReplicaId self;

    private final String address;

    /** The highest ballot that was promised to or accepted. */
    private FounderBallot promised = FounderBallot.NONE;

    /** The ballot of the latest acceptance, or null. */
    private FounderBallot acceptedIn;

    /** The founder that was accepted latest, or null. */
    private Member accepted;

    /**
     * Creates the votes of a process that has not voted yet.
     *
     * @param self the identity of the process
     * @param address the host and port of the process
     */
    public FounderVotes(ReplicaId self, String address) {
        this.self = self;
        this.address = address;
    }

    /**
     * Votes, unless a higher ballot prevents it.
     *
     * @param request the request of a replica
     * @return the reply
     */
    public synchronized FounderReply vote(FounderRequest request) {
        boolean asksForPromise = request.founder() == null;
        int order = request.ballot().compareTo(promised);
        if (order > 0 || order == 0 && !asksForPromise) {
            promised = request.ballot();
            if (!asksForPromise) {
                acceptedIn = request.ballot();
                accepted = request.founder();
            }
        }
        return new FounderReply(self, address, request.ballot(), request.founder(), promised, acceptedIn, accepted);
    }
}
