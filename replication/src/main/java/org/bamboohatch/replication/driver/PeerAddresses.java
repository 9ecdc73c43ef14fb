package org.bamboohatch.replication.driver;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.bamboohatch.kernel.id.ReplicaId;
import org.bamboohatch.replication.message.Member;
import org.bamboohatch.replication.message.Membership;
import org.bamboohatch.replication.message.ReplicaMessage.Envelope;

/**
 * Addresses of other replicas. The sender of a message is reached at the address that its message carries, because it need
 * not be in the receiver's membership: the log of a joining or returning replica may end before the entry that admitted
 * the current leader or a candidate. Other replicas are looked up in the membership.
 */
public final class PeerAddresses {

    /** Number of senders whose address is retained; the one heard from least recently is dropped first. */
    static final int MAX_SENDERS = 64;

    private static final float LOAD_FACTOR = 0.75f;

    private final Map<ReplicaId, String> senders = new LinkedHashMap<>(MAX_SENDERS, LOAD_FACTOR, true);

    /** Creates an instance that has heard from no replica. */
    public PeerAddresses() {}

    /**
     * Retains the address of the sender of a message. Messages of older replicas carry none.
     *
     * @param envelope the received message
     */
    public void recordSender(Envelope envelope) {
        if (envelope.replyAddress() == null) {
            return;
        }
        senders.put(envelope.message().from(), envelope.replyAddress());
        if (senders.size() > MAX_SENDERS) {
            senders.remove(senders.keySet().iterator().next());
        }
    }

    /**
     * Returns the address of a replica.
     *
     * @param replica the identity of the replica
     * @param membership the membership in force
     * @return the address in its latest message, else the one in the membership; empty if neither is known
     */
    public Optional<String> find(ReplicaId replica, Membership membership) {
        String sender = senders.get(replica);
        return sender != null ? Optional.of(sender) : membership.find(replica).map(Member::address);
    }

    /**
     * Returns the addresses of the replicas that have sent a message.
     *
     * @return the retained addresses
     */
    List<String> senders() {
        return List.copyOf(senders.values());
    }
}
