package org.bamboohatch.control.server;

import java.util.List;
import java.util.Objects;

import org.bamboohatch.control.state.ControlStateMachine;
import org.bamboohatch.protocol.message.ControlReply;
import org.bamboohatch.protocol.message.ControlReply.Undecided;
import org.bamboohatch.protocol.message.ControlRequest.Announce;
import org.bamboohatch.protocol.message.ControlRequest.AwaitInForce;
import org.bamboohatch.protocol.message.ControlRequest.Poll;
import org.bamboohatch.protocol.transport.Exchange;
import org.bamboohatch.replication.driver.ReplicaService;

/**
 * Handles the long polls of subscribers, processes that have a copy of the configuration; used on the replica's thread
 * only.
 */
final class SubscriberRequests {

    /** Maximum time for which the reply to an announcement is held until there is a change, in milliseconds. */
    private static final long ANNOUNCE_HOLD_MS = 800;

    /** Maximum time for which a request waits until its revision is in force, in milliseconds. */
    private static final long IN_FORCE_TIMEOUT_MS = 500;

    private final LeaderSession session;

    private final ControlStateMachine stateMachine;

    private final SubscriberAnswers answers;

    private final Runnable targetsChanged;

    /**
     * Creates a handler that serves while the session leads.
     *
     * @param session the leader's state and held replies
     * @param stateMachine the replicated state
     * @param answers creates the replies
     * @param targetsChanged invoked when a target joined, left or changed
     */
    SubscriberRequests(
            LeaderSession session,
            ControlStateMachine stateMachine,
            SubscriberAnswers answers,
            Runnable targetsChanged) {
        this.session = session;
        this.stateMachine = stateMachine;
        this.answers = answers;
        this.targetsChanged = targetsChanged;
    }

    /**
     * Answers a poll when there is a change or its hold time has passed. An urgent poll, and the first poll of a
     * subscriber in a term, is not held for a change, because the subscriber soon has to show that its copy is fresh.
     *
     * @param poll the poll
     * @param exchange receives the reply
     */
    void poll(Poll poll, Exchange exchange) {
        long now = ReplicaService.now();
        boolean firstContact = session.leader()
                .subscribers()
                .update(poll.holder().value(), poll.zone(), true, poll.appliedRevision(), now);
        session.leader().gateways().update(poll, now);
        session.releaseAcknowledged();
        boolean immediate = firstContact || poll.urgent();
        if (immediate) {
            session.requestConfirmation();
        }
        session.holdForChange(
                answers.holdMillis(poll, session.leader(), now),
                () -> session.isConfirmedSince(now)
                        && (immediate || answers.hasChanges(poll, session.leader(), ReplicaService.now())),
                () -> exchange.end(
                        session.isConfirmedSince(now)
                                ? answers.changes(
                                        poll, session.leader(), session.controlAddresses(), ReplicaService.now())
                                : session.notLeader()));
    }

    /**
     * Renews a target's lease and answers when there is a newer configuration revision, when the target's placement
     * orders change or when the hold time has passed. A target that leaves is answered immediately.
     *
     * @param announce the announcement
     * @param exchange receives the reply
     */
    void announce(Announce announce, Exchange exchange) {
        long now = ReplicaService.now();
        var target = announce.announcement();
        if (!target.leaving()) {
            session.leader()
                    .subscribers()
                    .update(target.target().value(), target.zone(), false, announce.appliedRevision(), now);
        }
        boolean changed = session.leader().targets().announce(target, now);
        if (changed) {
            targetsChanged.run();
        }
        List<ControlReply.PlacementOrder> ordersBefore = session.leader().orders(target.target());
        session.holdForChange(
                ANNOUNCE_HOLD_MS,
                () -> target.leaving()
                        || stateMachine.documents().lastRevision() > announce.appliedRevision()
                        || session.leader() != null
                                && !Objects.equals(session.leader().orders(target.target()), ordersBefore),
                () -> exchange.end(
                        session.leader() != null
                                ? answers.announced(announce, session.leader())
                                : session.notLeader()));
        if (changed) {
            session.releaseChanged();
        }
    }

    /**
     * Answers whether a revision is in force, once it is or the request has timed out.
     *
     * @param await the request
     * @param exchange receives the reply
     */
    void awaitInForce(AwaitInForce await, Exchange exchange) {
        long now = ReplicaService.now();
        session.holdForAcknowledgement(
                IN_FORCE_TIMEOUT_MS,
                () -> session.isConfirmedSince(now)
                        && session.leader().subscribers().isComplete(ReplicaService.now())
                        && session.leader()
                                .subscribers()
                                .pendingZones(await.revision(), ReplicaService.now())
                                .isEmpty(),
                () -> exchange.end(inForce(await, now)));
    }

    /**
     * Creates the reply about whether a revision is in force.
     *
     * @param await the request
     * @param since monotonic time at which the request arrived, in milliseconds
     * @return the availability zones that have not confirmed the revision; undecided while the registry is incomplete
     */
    private ControlReply inForce(AwaitInForce await, long since) {
        if (!session.isConfirmedSince(since)) {
            return session.notLeader();
        }
        long now = ReplicaService.now();
        if (!session.leader().subscribers().isComplete(now)) {
            return new Undecided("the leader is new and has not heard every process yet");
        }
        return new ControlReply.InForce(
                await.revision(), session.leader().subscribers().pendingZones(await.revision(), now));
    }
}
