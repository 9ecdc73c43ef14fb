package org.bamboohatch.control.server;

import java.util.List;

import org.bamboohatch.control.membership.TargetRegistry;
import org.bamboohatch.control.state.ControlStateMachine;
import org.bamboohatch.protocol.message.ControlReply;
import org.bamboohatch.protocol.message.ControlRequest.Announce;
import org.bamboohatch.protocol.message.ControlRequest.GetDocument;
import org.bamboohatch.protocol.message.ControlRequest.Poll;
import org.bamboohatch.protocol.message.CrashEvidence;
import org.bamboohatch.protocol.message.DocumentVersion;
import org.bamboohatch.protocol.message.FleetText;

/** Creates the replies to subscribers, processes that have a copy of the configuration. */
final class SubscriberAnswers {

    /** Maximum time for which the reply to a poll is held until there is a change, in milliseconds. */
    private static final long POLL_HOLD_MS = 500;

    /**
     * Minimum time for which the reply to a poll is held while a new leader's target registry is incomplete, in
     * milliseconds. It is shorter because a newly announced target does not end the hold, since the membership has no
     * version yet to compare the subscriber's with, and a subscriber that has just started knows no other targets.
     */
    private static final long MIN_DISCOVERY_HOLD_MS = 100;

    /** Time added to that hold for each known target, in milliseconds; limits the bytes per second, as all are sent. */
    private static final long DISCOVERY_HOLD_PER_TARGET_MS = 2;

    private final ControlStateMachine stateMachine;

    /**
     * Creates an instance that reads the given state.
     *
     * @param stateMachine the replicated state
     */
    SubscriberAnswers(ControlStateMachine stateMachine) {
        this.stateMachine = stateMachine;
    }

    /**
     * Returns the maximum time for which the reply to a poll is held until there is a change.
     *
     * @param poll the poll
     * @param leader the leader's state
     * @param now current monotonic time, in milliseconds
     * @return the time in milliseconds
     */
    long holdMillis(Poll poll, LeaderState leader, long now) {
        if (canSendMembership(poll, leader, now)) {
            return POLL_HOLD_MS;
        }
        long known = leader.targets().live().size();
        return Math.min(POLL_HOLD_MS, Math.max(MIN_DISCOVERY_HOLD_MS, known * DISCOVERY_HOLD_PER_TARGET_MS));
    }

    /**
     * Indicates whether a subscriber's copy is out of date.
     *
     * @param poll the poll with the versions of the copy
     * @param leader the leader's state
     * @param now current monotonic time, in milliseconds
     * @return whether a document, the fleet configuration, the membership or the evacuated zones are newer than the copy
     */
    boolean hasChanges(Poll poll, LeaderState leader, long now) {
        if (stateMachine.documents().lastRevision() > poll.appliedRevision()
                || stateMachine.fleet().version() > poll.fleetVersion()
                || hasLaterEvacuation(poll)) {
            return true;
        }
        boolean behind =
                poll.epoch() != leader.targets().epoch() || leader.targets().version() > poll.version();
        return canSendMembership(poll, leader, now) && behind;
    }

    /**
     * Indicates whether the evacuated zones are newer than a subscriber's copy.
     *
     * @param poll the poll with the version of the copy
     * @return false as well if the subscriber does not use the zones
     */
    private boolean hasLaterEvacuation(Poll poll) {
        return poll.evacuationVersion() != null && stateMachine.evacuations().version() > poll.evacuationVersion();
    }

    /**
     * Indicates whether this leader's membership may replace a subscriber's copy. A copy of another epoch is kept until
     * this leader's registry is complete, as targets that have not announced themselves yet would be lost.
     *
     * @param poll the poll with the epoch of the copy
     * @param leader the leader's state
     * @param now current monotonic time, in milliseconds
     * @return whether the copy has this leader's epoch or the registry is complete
     */
    private static boolean canSendMembership(Poll poll, LeaderState leader, long now) {
        return poll.epoch() == leader.targets().epoch() || leader.targets().isComplete(now);
    }

    /**
     * Creates the reply to a poll.
     *
     * @param poll the poll with the versions of the subscriber's copy
     * @param leader the leader's state
     * @param controls addresses of the control processes
     * @param now current monotonic time, in milliseconds
     * @return the changes since the copy
     */
    ControlReply changes(Poll poll, LeaderState leader, List<String> controls, long now) {
        List<DocumentVersion> documents = stateMachine.documents().changedSince(poll.appliedRevision());
        long revision = stateMachine.documents().lastRevision();
        long time = leader.ledgerTime(stateMachine.ledger().time(), now);
        int entries = leader.subscribers().entries();
        FleetText fleet = stateMachine.fleet().version() > poll.fleetVersion()
                ? stateMachine.fleet().current()
                : null;
        List<String> gateways =
                poll.exchangeAddress().isEmpty() ? List.of() : leader.gateways().exchangeAddresses();
        if (!canSendMembership(poll, leader, now)) {
            // The registry is incomplete: the targets known so far are added to the subscriber's copy, which keeps
            // its epoch and thereby its other targets.
            TargetRegistry.Changes partial =
                    leader.targets().changesSince(leader.targets().epoch(), 0, now);
            return new ControlReply.Changes(
                    revision,
                    documents,
                    poll.epoch(),
                    poll.version(),
                    partial.joined(),
                    partial.departed(),
                    time,
                    entries,
                    fleet,
                    gateways,
                    controls,
                    false,
                    stateMachine.evacuations().current(),
                    evidenceForNewcomer(poll, time));
        }
        TargetRegistry.Changes changes = leader.targets().changesSince(poll.epoch(), poll.version(), now);
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
                controls,
                changes.full(),
                stateMachine.evacuations().current(),
                evidenceForNewcomer(poll, time));
    }

    /**
     * Returns the evidence against requests that end targets, for a gateway that has just started. It comes with the first
     * configuration, so that no request is forwarded before it is known.
     *
     * @param poll the poll
     * @param time current ledger time, in milliseconds
     * @return the evidence, null if the subscriber has a configuration or there is no evidence
     */
    private CrashEvidence evidenceForNewcomer(Poll poll, long time) {
        CrashEvidence evidence =
                poll.fleetVersion() == Poll.NO_FLEET ? stateMachine.crashes().evidence(time) : CrashEvidence.NONE;
        return evidence.crashes().isEmpty() ? null : evidence;
    }

    /**
     * Creates the reply to an announcement.
     *
     * @param announce the announcement
     * @param leader the leader's state
     * @return the placement orders, and the document of the target's service if the agent's copy is older
     */
    ControlReply announced(Announce announce, LeaderState leader) {
        DocumentVersion document = stateMachine
                .documents()
                .latest(announce.announcement().service())
                .filter(version -> version.revision() > announce.appliedRevision())
                .orElse(null);
        return new ControlReply.Announced(
                stateMachine.documents().lastRevision(),
                document,
                leader.term(),
                leader.orders(announce.announcement().target()));
    }

    /**
     * Creates the reply to a request for a document.
     *
     * @param get the request
     * @return the requested revision, or all retained revisions if the requested one is zero
     */
    ControlReply documents(GetDocument get) {
        List<DocumentVersion> history = stateMachine.documents().history(get.service());
        if (get.revision() == 0) {
            return new ControlReply.Documents(history);
        }
        return new ControlReply.Documents(history.stream()
                .filter(version -> version.revision() == get.revision())
                .toList());
    }
}
