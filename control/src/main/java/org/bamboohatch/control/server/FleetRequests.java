package org.bamboohatch.control.server;

import java.util.function.BooleanSupplier;
import java.util.function.LongSupplier;
import java.util.function.Supplier;

import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.bamboohatch.control.ControlSettings;
import org.bamboohatch.control.state.Command;
import org.bamboohatch.control.state.ControlStateMachine;
import org.bamboohatch.control.state.TargetDeparture;
import org.bamboohatch.protocol.message.ControlReply;
import org.bamboohatch.protocol.message.ControlReply.Undecided;
import org.bamboohatch.protocol.message.ControlRequest.Deregister;
import org.bamboohatch.protocol.message.ControlRequest.Register;
import org.bamboohatch.protocol.message.ControlRequest.ReplaceFleet;
import org.bamboohatch.protocol.message.TargetAnnouncement;
import org.bamboohatch.protocol.transport.Exchange;
import org.bamboohatch.replication.driver.ProposalResult;
import org.bamboohatch.replication.driver.ReplicaService;

/**
 * Handles replacements of the fleet configuration and the registration of targets that gateways call directly. Except
 * for {@link #replace}, it is used on the replica's thread only.
 */
final class FleetRequests {

    private static final Logger LOGGER = LogManager.getLogger(FleetRequests.class);

    /** Maximum time for which the reply to a replacement waits until the gateways apply it, in milliseconds. */
    private static final long FLEET_ACKNOWLEDGEMENT_TIMEOUT_MS = 600;

    /** Maximum time for which the reply to a departure waits until the gateways apply it, in milliseconds. */
    private static final long DEPARTURE_ACKNOWLEDGEMENT_TIMEOUT_MS = 600;

    private final LeaderSession session;

    private final ControlSettings settings;

    private final ReplicaService replica;

    private final ControlStateMachine stateMachine;

    /**
     * Creates a handler that serves while the session leads.
     *
     * @param session the leader's state and held replies
     * @param settings settings of the control process
     * @param replica the replica to propose commands to
     * @param stateMachine the replicated state
     */
    FleetRequests(
            LeaderSession session, ControlSettings settings, ReplicaService replica, ControlStateMachine stateMachine) {
        this.session = session;
        this.settings = settings;
        this.replica = replica;
        this.stateMachine = stateMachine;
    }

    /**
     * Proposes a fleet configuration and replies once every live gateway applies the version that is then in effect, or
     * after {@value #FLEET_ACKNOWLEDGEMENT_TIMEOUT_MS} ms. May be called by any thread.
     *
     * @param replace the request
     * @param ledgerTime supplies the current ledger time, in milliseconds
     * @param exchange receives the reply
     */
    void replace(ReplaceFleet replace, LongSupplier ledgerTime, Exchange exchange) {
        Supplier<byte[]> command = () -> ControlStateMachine.encode(new Command(ledgerTime.getAsLong(), replace));
        replica.propose(command)
                .thenAccept(proposal -> replica.execute(() -> {
                    session.refreshLeadership();
                    if (!(proposal instanceof ProposalResult.Applied applied)) {
                        boolean notLeader = proposal instanceof ProposalResult.NotLeader;
                        exchange.end(
                                notLeader
                                        ? session.notLeader()
                                        : new Undecided("leadership changed before it was decided"));
                        return;
                    }
                    ControlReply.FleetReplaced replaced = (ControlReply.FleetReplaced) applied.result();
                    LOGGER.info(
                            "fleet: version {} proposed, version {} in effect",
                            replace.fleet().version(),
                            replaced.version());
                    session.holdForAcknowledgement(
                            FLEET_ACKNOWLEDGEMENT_TIMEOUT_MS,
                            () -> session.leader() != null
                                    && session.leader()
                                            .gateways()
                                            .allApplyFleet(replaced.version(), ReplicaService.now()),
                            () -> exchange.end(replaced));
                    session.releaseChanged();
                }));
    }

    /**
     * Renews the lease of a target that gateways call directly. The announcement that it leaves is acknowledged once it is
     * recorded and every live gateway applies it. An announcement for a service that the configuration does not name changes
     * nothing, unless it renews a lease.
     *
     * @param register the announcement
     * @param ledgerTime supplies the current ledger time, in milliseconds
     * @param exchange receives the reply
     */
    void register(Register register, LongSupplier ledgerTime, Exchange exchange) {
        long now = ReplicaService.now();
        TargetAnnouncement target = register.announcement();
        if (!session.isNamed(target.service()) && !session.leader().targets().isRenewal(target)) {
            if (session.leader().unassigned().retain(target, now)) {
                LOGGER.info("targets: {} is of service {}, which is not named", target.target(), target.service());
            }
            exchange.end(new ControlReply.Registered(settings.advertisedAddress()));
            return;
        }
        boolean changed = session.leader().targets().announce(target, now);
        if (changed) {
            LOGGER.info(
                    "targets: {} of {} at {} is {}",
                    target.target(),
                    target.service(),
                    target.address(),
                    target.leaving() ? "leaving" : "ready");
            session.releaseChanged();
        }
        if (target.leaving()) {
            TargetDeparture departure = TargetDeparture.of(target);
            // Repeated announcements that the target leaves add nothing to the record of the first one.
            confirmDeparture(changed ? departure : recordedOr(departure), ledgerTime, now, exchange);
        } else {
            exchange.end(new ControlReply.Registered(settings.advertisedAddress()));
        }
    }

    private TargetDeparture recordedOr(TargetDeparture departure) {
        return stateMachine
                .departures()
                .find(departure.target())
                .filter(recorded -> recorded.incarnation() >= departure.incarnation())
                .orElse(departure);
    }

    /**
     * Ends the lease of a target that has stopped, unless the ticket of the request has expired; acknowledged once it is
     * recorded and every live gateway applies it.
     *
     * @param deregister the request
     * @param ledgerTime supplies the current ledger time, in milliseconds
     * @param exchange receives the reply
     */
    void deregister(Deregister deregister, LongSupplier ledgerTime, Exchange exchange) {
        long now = ReplicaService.now();
        if (!session.isTimely(deregister.ticket(), now)) {
            exchange.end(new ControlReply.OrderExpired());
            return;
        }
        TargetDeparture departure = session.leader().targets().departureOf(deregister.target(), deregister.wallTime());
        session.leader().targets().depart(departure, now);
        LOGGER.info("targets: {} was deregistered", deregister.target());
        confirmDeparture(departure, ledgerTime, now, exchange);
    }

    /**
     * Records a departure and acknowledges it once every live gateway applies the current version of the membership, or
     * answers that it is undecided after {@value #DEPARTURE_ACKNOWLEDGEMENT_TIMEOUT_MS} ms. Without the record, the next
     * leader would take a late announcement of the target for a new one.
     *
     * @param departure the departure, which the registry knows
     * @param ledgerTime supplies the current ledger time, in milliseconds
     * @param now current monotonic time, in milliseconds
     * @param exchange receives the reply
     */
    private void confirmDeparture(TargetDeparture departure, LongSupplier ledgerTime, long now, Exchange exchange) {
        long version = session.leader().targets().version();
        long term = session.leader().term();
        if (!isRecorded(departure)) {
            replica.propose(() -> ControlStateMachine.encode(Command.recording(ledgerTime.getAsLong(), departure)));
        }
        BooleanSupplier confirmed = () -> isRecorded(departure)
                && session.isAppliedStateDurable()
                && isAppliedByGateways(term, version)
                && session.isConfirmedSince(now);
        session.holdForAcknowledgement(
                DEPARTURE_ACKNOWLEDGEMENT_TIMEOUT_MS,
                confirmed,
                () -> exchange.end(
                        confirmed.getAsBoolean()
                                ? new ControlReply.Registered(settings.advertisedAddress())
                                : new Undecided(
                                        "the departure is not recorded, or not every gateway has heard of it")));
        session.releaseChanged();
    }

    private boolean isRecorded(TargetDeparture departure) {
        return stateMachine
                .departures()
                .find(departure.target())
                .filter(recorded -> recorded.includes(departure))
                .isPresent();
    }

    /**
     * Indicates whether every live gateway applies a version of the membership.
     *
     * @param term the term in which the version was assigned
     * @param version the version
     * @return false as well if this process no longer leads in the term
     */
    private boolean isAppliedByGateways(long term, long version) {
        return session.leader() != null
                && session.leader().term() == term
                && session.leader().gateways().allApplyMembership(version, ReplicaService.now());
    }
}
