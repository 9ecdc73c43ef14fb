package org.bamboohatch.control.server;

import java.util.List;
import java.util.function.BooleanSupplier;

import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.bamboohatch.control.ControlSettings;
import org.bamboohatch.control.state.ControlStateMachine;
import org.bamboohatch.protocol.message.ControlReply;
import org.bamboohatch.protocol.transport.Network;
import org.bamboohatch.replication.consensus.Role;
import org.bamboohatch.replication.driver.ReplicaService;
import org.bamboohatch.replication.message.Member;

/** What a control process keeps while it leads, and the replies that wait; used on the replica's thread only. */
final class LeaderSession {

    /** Logger of this part. */
    private static final Logger LOGGER = LogManager.getLogger(LeaderSession.class);

    /** Time after a change in which held replies are looked at on every sweep, in milliseconds. */
    private static final long RELEASE_WINDOW_MS = 400;

    /** The settings. */
    private final ControlSettings settings;

    /** The replica. */
    private final ReplicaService replica;

    /** The state machine. */
    private final ControlStateMachine machine;

    /** The network threads. */
    private final Network network;

    /** Replies that wait for a change of documents, membership or orders. */
    private final PendingReplies waiting = new PendingReplies();

    /** Replies that wait for a revision to be in force. */
    private final PendingReplies waitingForForce = new PendingReplies();

    /** What this process keeps while it leads, or null. */
    private LeaderState leader;

    /** Time until which held replies are looked at on every sweep. */
    private long releaseUntil;

    /**
     * Creates a session that does not lead.
     *
     * @param settings the settings
     * @param replica the replica
     * @param machine the state machine
     * @param network the network threads
     */
    LeaderSession(ControlSettings settings, ReplicaService replica, ControlStateMachine machine, Network network) {
        this.settings = settings;
        this.replica = replica;
        this.machine = machine;
        this.network = network;
    }

    /**
     * Returns what the process keeps while it leads.
     *
     * @return the state, null if it does not lead
     */
    LeaderState leader() {
        return leader;
    }

    /**
     * Holds a reply until a change makes it worth sending or its time has run out.
     *
     * @param holdMillis longest hold in milliseconds
     * @param due whether it is worth sending
     * @param send sends it
     */
    void holdForNews(long holdMillis, BooleanSupplier due, Runnable send) {
        waiting.add(ReplicaService.now() + holdMillis, due, send);
    }

    /**
     * Holds a reply until other processes have followed a change or its time has run out.
     *
     * @param holdMillis longest hold in milliseconds
     * @param due whether they have
     * @param send sends the reply
     */
    void holdForFollowers(long holdMillis, BooleanSupplier due, Runnable send) {
        waitingForForce.add(ReplicaService.now() + holdMillis, due, send);
    }

    /** Asks the followers for a confirmation and looks at held replies while it comes in. */
    void seekConfirmation() {
        long now = ReplicaService.now();
        replica.core().requestLeadershipConfirmation(now);
        releaseUntil = now + RELEASE_WINDOW_MS;
    }

    /** Sends the replies that waited for processes to follow a change, if they have. */
    void releaseFollowed() {
        waitingForForce.releaseDue();
    }

    /**
     * Sends the replies that are due.
     *
     * @param now the present time
     */
    void sweep(long now) {
        if (now < releaseUntil) {
            waiting.releaseDue();
        }
        waiting.releaseExpired(now);
        waitingForForce.releaseExpired(now);
        waitingForForce.releaseDue();
    }

    /** Sends what a change has made worth sending, now and while confirmations for it come in. */
    void releaseNews() {
        seekConfirmation();
        waiting.releaseDue();
    }

    /**
     * Tells whether a quorum has followed this process since a time.
     *
     * @param since the time
     * @return whether what it knows was the newest at that time
     */
    boolean isConfirmedSince(long since) {
        return leader != null && replica.core().isLeadershipConfirmedSince(since, ReplicaService.now());
    }

    /** Takes note of a change of leadership. */
    void refreshLeadership() {
        boolean leads = replica.core().role() == Role.LEADER;
        if (!leads) {
            leader = null;
        } else if (leader == null || leader.term() != replica.core().term()) {
            long now = ReplicaService.now();
            leader = new LeaderState(replica.core().term(), machine.ledger().time(), now);
            LOGGER.info("control: leads in term {}", leader.term());
            network.timeline()
                    .record(settings.host().value(), "leads", "term " + leader.term(), System.currentTimeMillis());
        }
    }

    /**
     * Lists the control processes.
     *
     * @return their addresses
     */
    List<String> controls() {
        return replica.core().membership().members().map(Member::address).toList();
    }

    /**
     * Answers that another process leads.
     *
     * @return the reply with the leader's address, if it is known
     */
    ControlReply notLeader() {
        return new ControlReply.NotLeader(replica.leaderAddress());
    }
}
