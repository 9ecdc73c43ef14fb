package org.bamboohatch.control.server;

import java.util.function.LongSupplier;
import java.util.function.Supplier;

import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.bamboohatch.control.ControlSettings;
import org.bamboohatch.control.state.Command;
import org.bamboohatch.control.state.ControlStateMachine;
import org.bamboohatch.protocol.message.ControlReply;
import org.bamboohatch.protocol.message.ControlReply.Undecided;
import org.bamboohatch.protocol.message.ControlRequest.Deregister;
import org.bamboohatch.protocol.message.ControlRequest.Register;
import org.bamboohatch.protocol.message.ControlRequest.ReplaceFleet;
import org.bamboohatch.protocol.message.TargetAnnouncement;
import org.bamboohatch.protocol.transport.Exchange;
import org.bamboohatch.replication.driver.ProposalResult;
import org.bamboohatch.replication.driver.ReplicaService;

/** Answers operators of the fleet configuration and targets that gateways call; used on the replica's thread only. */
final class FleetRequests {

    /** Logger of this part. */
    private static final Logger LOGGER = LogManager.getLogger(FleetRequests.class);

    /** Time for which a decided fleet configuration waits for the gateways to apply it, in milliseconds. */
    private static final long FLEET_HOLD_MS = 600;

    /** Time for which a departure waits for the gateways to hear of it, in milliseconds. */
    private static final long DEPARTURE_HOLD_MS = 600;

    /** What the process keeps while it leads. */
    private final LeaderSession session;

    /** The settings. */
    private final ControlSettings settings;

    /** The replica. */
    private final ReplicaService replica;

    /**
     * Creates the part.
     *
     * @param session what the process keeps while it leads
     * @param settings the settings
     * @param replica the replica
     */
    FleetRequests(LeaderSession session, ControlSettings settings, ReplicaService replica) {
        this.session = session;
        this.settings = settings;
        this.replica = replica;
    }

    /**
     * Proposes a fleet configuration and replies when the gateways that are present apply it.
     *
     * @param replace the request
     * @param ledgerTime the present time of the ledger
     * @param exchange takes the reply
     */
    void replace(ReplaceFleet replace, LongSupplier ledgerTime, Exchange exchange) {
        Supplier<byte[]> command = () -> ControlStateMachine.encode(new Command(ledgerTime.getAsLong(), replace));
        replica.propose(command)
                .thenAccept(proposal -> replica.execute(() -> {
                    session.refreshLeadership();
                    if (!(proposal instanceof ProposalResult.Applied decided)) {
                        boolean refused = proposal instanceof ProposalResult.NotLeader;
                        exchange.end(
                                refused
                                        ? session.notLeader()
                                        : new Undecided("leadership changed before it was decided"));
                        return;
                    }
                    ControlReply.FleetReplaced replaced = (ControlReply.FleetReplaced) decided.result();
                    LOGGER.info(
                            "fleet: version {} proposed, version {} held",
                            replace.fleet().version(),
                            replaced.version());
                    session.holdForFollowers(
                            FLEET_HOLD_MS,
                            () -> session.leader() != null
                                    && session.leader().gateways().haveFleet(replaced.version(), ReplicaService.now()),
                            () -> exchange.end(replaced));
                    session.releaseNews();
                }));
    }

    /**
     * Renews the lease of a target that gateways call directly. That it leaves is acknowledged once the gateways
     * that are present have heard of it.
     *
     * @param register the announcement
     * @param exchange takes the reply
     */
    void register(Register register, Exchange exchange) {
        long now = ReplicaService.now();
        TargetAnnouncement target = register.announcement();
        boolean changed = session.leader().targets().announce(target, now);
        if (changed) {
            LOGGER.info(
                    "targets: {} of {} at {} is {}",
                    target.target(),
                    target.service(),
                    target.address(),
                    target.leaving() ? "leaving" : "ready");
            session.releaseNews();
        }
        if (target.leaving()) {
            confirmDeparture(now, exchange);
        } else {
            exchange.end(new ControlReply.Registered(settings.advertisedAddress()));
        }
    }

    /**
     * Ends the lease of a target that is gone.
     *
     * @param deregister the request
     * @param exchange takes the reply
     */
    void deregister(Deregister deregister, Exchange exchange) {
        session.leader().targets().deregister(deregister.target(), deregister.wallTime());
        LOGGER.info("targets: {} is gone", deregister.target());
        confirmDeparture(ReplicaService.now(), exchange);
    }

    /**
     * Acknowledges a departure once the gateways that are present apply the membership as it is now.
     *
     * @param now the present time
     * @param exchange takes the reply
     */
    private void confirmDeparture(long now, Exchange exchange) {
        long version = session.leader().targets().version();
        long term = session.leader().term();
        session.holdForFollowers(
                DEPARTURE_HOLD_MS,
                () -> isHeardByGateways(term, version) && session.isConfirmedSince(now),
                () -> exchange.end(
                        isHeardByGateways(term, version) && session.isConfirmedSince(now)
                                ? new ControlReply.Registered(settings.advertisedAddress())
                                : new Undecided("not every gateway has heard of the departure")));
        session.releaseNews();
    }

    /**
     * Tells whether the gateways that are present apply a version of the membership.
     *
     * @param term the term in which the version was made
     * @param version the version
     * @return whether they do
     */
    private boolean isHeardByGateways(long term, long version) {
        return session.leader() != null
                && session.leader().term() == term
                && session.leader().gateways().haveMembership(version, ReplicaService.now());
    }
}
