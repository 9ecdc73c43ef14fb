package org.bamboohatch.control.server;

import java.util.List;

import org.bamboohatch.control.membership.TargetRegistry;
import org.bamboohatch.control.state.ControlStateMachine;
import org.bamboohatch.protocol.message.ControlReply;
import org.bamboohatch.protocol.message.ControlRequest.Announce;
import org.bamboohatch.protocol.message.ControlRequest.GetDocument;
import org.bamboohatch.protocol.message.ControlRequest.Poll;
import org.bamboohatch.protocol.message.DocumentVersion;
import org.bamboohatch.protocol.message.FleetText;

/** Makes the answers to the processes that hold configuration. */
final class SubscriberAnswers {

    /** Time for which a poll waits for a change, in milliseconds. */
    private static final long POLL_HOLD_MS = 500;

    /**
     * Time for which a poll waits while a new leader hears of its targets, in milliseconds: what it hears has no version
     * that a holder could be behind of, and a process that has just begun knows no other targets.
     */
    private static final long GATHERING_HOLD_MS = 100;

    /** The state machine. */
    private final ControlStateMachine machine;

    /**
     * Creates the answers.
     *
     * @param machine the state machine
     */
    SubscriberAnswers(ControlStateMachine machine) {
        this.machine = machine;
    }

    /**
     * Tells for how long a poll waits for news.
     *
     * @param poll the poll
     * @param leader what the leader keeps
     * @param now the present time, in milliseconds
     * @return the time in milliseconds
     */
    long holdMillis(Poll poll, LeaderState leader, long now) {
        return tellsMembership(poll, leader, now) ? POLL_HOLD_MS : GATHERING_HOLD_MS;
    }

    /**
     * Tells whether a poll has something to tell.
     *
     * @param poll the poll
     * @param leader what the leader keeps
     * @param now the present time, in milliseconds
     * @return whether a document or the membership changed
     */
    boolean hasNews(Poll poll, LeaderState leader, long now) {
        if (machine.documents().lastRevision() > poll.appliedRevision()
                || machine.fleet().version() > poll.fleetVersion()) {
            return true;
        }
        boolean behind =
                poll.epoch() != leader.targets().epoch() || leader.targets().version() > poll.version();
        return tellsMembership(poll, leader, now) && behind;
    }

    /**
     * Tells whether the membership may be told to a holder; a holder with an older copy keeps it until this
     * leader's registry is complete.
     *
     * @param poll the poll
     * @param leader what the leader keeps
     * @param now the present time, in milliseconds
     * @return whether the membership is told
     */
    private static boolean tellsMembership(Poll poll, LeaderState leader, long now) {
        return poll.epoch() == leader.targets().epoch() || leader.targets().isComplete(now);
    }

    /**
     * Answers a poll.
     *
     * @param poll the poll
     * @param leader what the leader keeps
     * @param controls addresses of the control processes
     * @param now the present time, in milliseconds
     * @return what changed
     */
    ControlReply changes(Poll poll, LeaderState leader, List<String> controls, long now) {
        List<DocumentVersion> documents = machine.documents().changedSince(poll.appliedRevision());
        long revision = machine.documents().lastRevision();
        long time = leader.ledgerTime(now);
        int entries = leader.holders().entries();
        FleetText fleet = machine.fleet().version() > poll.fleetVersion()
                ? machine.fleet().current()
                : null;
        List<String> gateways =
                poll.exchangeAddress().isEmpty() ? List.of() : leader.gateways().exchangeAddresses();
        if (!tellsMembership(poll, leader, now)) {
            // Not complete yet: what is known is added to the holder's copy, which keeps its epoch and so its other
            // targets.
            TargetRegistry.Changes known =
                    leader.targets().changesSince(leader.targets().epoch(), 0);
            return new ControlReply.Changes(
                    revision,
                    documents,
                    poll.epoch(),
                    poll.version(),
                    known.joined(),
                    known.departed(),
                    time,
                    entries,
                    fleet,
                    gateways,
                    controls);
        }
        TargetRegistry.Changes changes = leader.targets().changesSince(poll.epoch(), poll.version());
        return new ControlReply.Changes(
                revision,
                documents,
                changes.epoch(),
                changes.version(),
                changes.joined(),
                changes.departed(),
                time,
                entries,
                fleet,
                gateways,
                controls);
    }

    /**
     * Answers an announcement.
     *
     * @param announce the announcement
     * @param leader what the leader keeps
     * @return the lease
     */
    ControlReply announced(Announce announce, LeaderState leader) {
        DocumentVersion document = machine.documents()
                .latest(announce.announcement().service())
                .filter(version -> version.revision() > announce.appliedRevision())
                .orElse(null);
        return new ControlReply.Announced(
                machine.documents().lastRevision(),
                document,
                leader.term(),
                leader.orders(announce.announcement().target()));
    }

    /**
     * Answers a question for a document.
     *
     * @param get the question
     * @return the revisions
     */
    ControlReply documents(GetDocument get) {
        List<DocumentVersion> history = machine.documents().history(get.service());
        if (get.revision() == 0) {
            return new ControlReply.Documents(history);
        }
        return new ControlReply.Documents(history.stream()
                .filter(version -> version.revision() == get.revision())
                .toList());
    }
}
