package org.bamboohatch.control.server;

import java.util.List;
import java.util.function.BooleanSupplier;

import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.bamboohatch.control.ControlSettings;
import org.bamboohatch.control.state.ControlStateMachine;
import org.bamboohatch.control.state.TargetDeparture;
import org.bamboohatch.kernel.id.ServiceName;
import org.bamboohatch.protocol.message.ControlReply;
import org.bamboohatch.protocol.message.OrderTicket;
import org.bamboohatch.protocol.message.TargetAnnouncement;
import org.bamboohatch.protocol.transport.Network;
import org.bamboohatch.replication.consensus.Role;
import org.bamboohatch.replication.driver.ReplicaService;
import org.bamboohatch.replication.message.Member;

/**
 * Tracks whether this process leads, with the state of its term and the replies that it holds; used on the replica's
 * thread only.
 */
final class LeaderSession {

    private static final Logger LOGGER = LogManager.getLogger(LeaderSession.class);

    /** Time after a change during which every sweep evaluates the replies held for changes, in milliseconds. */
    private static final long RELEASE_WINDOW_MS = 400;

    private final ControlSettings settings;

    private final ReplicaService replica;

    private final ControlStateMachine stateMachine;

    private final Network network;

    /** Replies held until the documents, the membership, the placement orders or the leader's confirmation change. */
    private final PendingReplies awaitingChange = new PendingReplies();

    /** Replies held until other processes have applied a change. */
    private final PendingReplies awaitingAcknowledgement = new PendingReplies();

    private final NamedServices services;

    /** State of the current term, or null if this process does not lead. */
    private LeaderState leader;

    /** End of the current release window, in milliseconds of the monotonic clock. */
    private long releaseUntil;

    /**
     * Creates a session that does not lead.
     *
     * @param settings settings of the control process
     * @param replica the replica whose role is tracked
     * @param stateMachine the replicated state
     * @param network provides the timeline
     */
    LeaderSession(ControlSettings settings, ReplicaService replica, ControlStateMachine stateMachine, Network network) {
        this.settings = settings;
        this.replica = replica;
        this.stateMachine = stateMachine;
        this.network = network;
        this.services = new NamedServices(stateMachine.fleet());
        stateMachine.onDeparture(this::onDepartureApplied);
    }

    /**
     * Ends the lease of a target that left under an earlier leader, and sends the replies that wait for the record.
     *
     * @param departure the departure that was applied
     */
    private void onDepartureApplied(TargetDeparture departure) {
        if (leader != null) {
            leader.targets().depart(departure, ReplicaService.now());
            releaseAcknowledged();
        }
    }

    /**
     * Returns the state of the current term.
     *
     * @return the state, or null if this process does not lead
     */
    LeaderState leader() {
        return leader;
    }

    /**
     * Holds a reply until a change meets its condition or its hold time has passed.
     *
     * @param holdMillis maximum hold time in milliseconds
     * @param condition whether the reply can be sent
     * @param send sends the reply
     */
    void holdForChange(long holdMillis, BooleanSupplier condition, Runnable send) {
        awaitingChange.add(ReplicaService.now() + holdMillis, condition, send);
    }

    /**
     * Holds a reply until other processes have applied a change or its hold time has passed.
     *
     * @param holdMillis maximum hold time in milliseconds
     * @param condition whether the processes have applied the change
     * @param send sends the reply
     */
    void holdForAcknowledgement(long holdMillis, BooleanSupplier condition, Runnable send) {
        awaitingAcknowledgement.add(ReplicaService.now() + holdMillis, condition, send);
    }

    /** Asks the followers to confirm that this process leads, and opens a release window for their replies. */
    void requestConfirmation() {
        long now = ReplicaService.now();
        replica.core().requestLeadershipConfirmation(now);
        releaseUntil = now + RELEASE_WINDOW_MS;
    }

    /** Sends the replies held for acknowledgement whose condition is met. */
    void releaseAcknowledged() {
        awaitingAcknowledgement.sendDue();
    }

    /**
     * Sends the held replies that are due or expired.
     *
     * @param now current monotonic time, in milliseconds
     */
    void sweep(long now) {
        if (now < releaseUntil) {
            awaitingChange.sendDue();
        }
        awaitingChange.sendExpired(now);
        awaitingAcknowledgement.sendExpired(now);
        awaitingAcknowledgement.sendDue();
    }

    /** Sends the replies that a change has made due, and opens a release window for those that need a confirmation. */
    void releaseChanged() {
        requestConfirmation();
        awaitingChange.sendDue();
    }

    /**
     * Indicates whether a quorum has confirmed since the given time that this process leads, so that its state was the
     * latest at that time.
     *
     * @param since monotonic time in milliseconds
     * @return false if there is no such confirmation or this process does not lead
     */
    boolean isConfirmedSince(long since) {
        return leader != null && replica.core().isLeadershipConfirmedSince(since, ReplicaService.now());
    }

    /**
     * Indicates whether as many replicas hold the applied entries as the tolerance of the group needs.
     *
     * @return false as well if this process does not lead
     */
    boolean isAppliedStateDurable() {
        return replica.core().isDurableAsDesired(replica.core().log().appliedIndex());
    }

    /** Creates the state of a new term if this process now leads it, or drops the state if it leads no longer. */
    void refreshLeadership() {
        boolean leads = replica.core().role() == Role.LEADER;
        if (!leads) {
            leader = null;
        } else if (leader == null || leader.term() != replica.core().term()) {
            long now = ReplicaService.now();
            leader = new LeaderState(
                    replica.core().term(),
                    stateMachine.departures().all(),
                    stateMachine.ledger().time(),
                    now);
            LOGGER.info("control: became leader in term {}", leader.term());
            network.timeline()
                    .record(settings.host().value(), "leads", "term " + leader.term(), System.currentTimeMillis());
        }
        if (leader != null && services.refresh()) {
            long now = ReplicaService.now();
            List<TargetAnnouncement> assigned = leader.unassigned().release(services::contains, now);
            assigned.forEach(announcement -> leader.targets().announce(announcement, now));
            releaseChanged();
        }
    }

    /**
     * Indicates whether the configuration names a service.
     *
     * @param service name of the service
     * @return true as well while there is no configuration, and until this leader has applied the one that its predecessor
     *     may have acknowledged
     */
    boolean isNamed(ServiceName service) {
        return services.contains(service) || !isConfirmedSince(Long.MIN_VALUE);
    }

    /** Returns the addresses of all control processes, voters and learners. */
    List<String> controlAddresses() {
        return replica.core().membership().members().map(Member::address).toList();
    }

    /**
     * Indicates whether an order may be carried out in this term.
     *
     * @param ticket ticket of the order, null if an older process sent it
     * @param now current monotonic time, in milliseconds
     * @return false if the order is too old, or this process does not lead
     */
    boolean isTimely(OrderTicket ticket, long now) {
        return leader != null && (ticket == null || ticket.isValid(leader.term(), now));
    }

    /**
     * Creates the reply of a process that does not lead.
     *
     * @return the reply, with the leader's address if it is known
     */
    ControlReply notLeader() {
        return new ControlReply.NotLeader(replica.leaderAddress());
    }
}
