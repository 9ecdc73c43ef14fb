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

/** Answers the processes that hold copies of the configuration; used on the replica's thread only. */
final class SubscriberRequests {

    /** Time for which an announcement waits for a change, in milliseconds. */
    private static final long ANNOUNCE_HOLD_MS = 800;

    /** Time for which a question for a revision in force waits, in milliseconds. */
    private static final long IN_FORCE_HOLD_MS = 500;

    /** What the process keeps while it leads. */
    private final LeaderSession session;

    /** The state machine. */
    private final ControlStateMachine machine;

    /** Makes the replies. */
    private final SubscriberAnswers answers;

    /** Hears that the set of targets changed. */
    private final Runnable targetsChanged;

    /**
     * Creates the part.
     *
     * @param session what the process keeps while it leads
     * @param machine the state machine
     * @param answers makes the replies
     * @param targetsChanged hears that the set of targets changed
     */
    SubscriberRequests(
            LeaderSession session, ControlStateMachine machine, SubscriberAnswers answers, Runnable targetsChanged) {
        this.session = session;
        this.machine = machine;
        this.answers = answers;
        this.targetsChanged = targetsChanged;
    }

    /**
     * Answers a poll when something changed or its time has run out. The first poll that a new leader hears is
     * answered at once, because the holder has to show soon that its copy is fresh.
     *
     * @param poll the poll
     * @param exchange takes the reply
     */
    void poll(Poll poll, Exchange exchange) {
        long now = ReplicaService.now();
        boolean firstContact =
                session.leader().holders().hear(poll.holder().value(), poll.zone(), true, poll.appliedRevision(), now);
        session.leader().gateways().hear(poll, now);
        session.releaseFollowed();
        boolean due = firstContact || poll.urgent();
        if (due) {
            session.seekConfirmation();
        }
        session.holdForNews(
                answers.holdMillis(poll, session.leader(), now),
                () -> session.isConfirmedSince(now)
                        && (due || answers.hasNews(poll, session.leader(), ReplicaService.now())),
                () -> exchange.end(
                        session.isConfirmedSince(now)
                                ? answers.changes(poll, session.leader(), session.controls(), ReplicaService.now())
                                : session.notLeader()));
    }

    /**
     * Renews a target's lease and answers when there is news or the time has run out.
     *
     * @param announce the announcement
     * @param exchange takes the reply
     */
    void announce(Announce announce, Exchange exchange) {
        long now = ReplicaService.now();
        var target = announce.announcement();
        if (!target.leaving()) {
            session.leader()
                    .holders()
                    .hear(target.target().value(), target.zone(), false, announce.appliedRevision(), now);
        }
        boolean changed = session.leader().targets().announce(target, now);
        if (changed) {
            targetsChanged.run();
        }
        List<ControlReply.PlacementOrder> known = session.leader().orders(target.target());
        session.holdForNews(
                ANNOUNCE_HOLD_MS,
                () -> target.leaving()
                        || machine.documents().lastRevision() > announce.appliedRevision()
                        || session.leader() != null
                                && !Objects.equals(session.leader().orders(target.target()), known),
                () -> exchange.end(
                        session.leader() != null
                                ? answers.announced(announce, session.leader())
                                : session.notLeader()));
        if (changed) {
            session.releaseNews();
        }
    }

    /**
     * Answers whether a revision is in force, when it is or the time has run out.
     *
     * @param await the question
     * @param exchange takes the reply
     */
    void awaitInForce(AwaitInForce await, Exchange exchange) {
        long now = ReplicaService.now();
        session.holdForFollowers(
                IN_FORCE_HOLD_MS,
                () -> session.isConfirmedSince(now)
                        && session.leader().holders().isComplete(ReplicaService.now())
                        && session.leader()
                                .holders()
                                .pendingZones(await.revision(), ReplicaService.now())
                                .isEmpty(),
                () -> exchange.end(inForce(await, now)));
    }

    /**
     * Answers whether a revision is in force.
     *
     * @param await the question
     * @param since time at which it arrived
     * @return the zones that have not confirmed it
     */
    private ControlReply inForce(AwaitInForce await, long since) {
        if (!session.isConfirmedSince(since)) {
            return session.notLeader();
        }
        long now = ReplicaService.now();
        if (!session.leader().holders().isComplete(now)) {
            return new Undecided("the leader is new and has not heard every process yet");
        }
        return new ControlReply.InForce(
                await.revision(), session.leader().holders().pendingZones(await.revision(), now));
    }
}
