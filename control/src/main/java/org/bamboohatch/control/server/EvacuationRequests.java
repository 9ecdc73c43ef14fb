package org.bamboohatch.control.server;

import java.util.List;
import java.util.function.LongSupplier;
import java.util.function.Supplier;

import org.bamboohatch.control.ControlSettings;
import org.bamboohatch.control.state.Command;
import org.bamboohatch.control.state.ControlStateMachine;
import org.bamboohatch.kernel.id.ZoneName;
import org.bamboohatch.kernel.log.DecisionLog;
import org.bamboohatch.kernel.log.DecisionLog.Category;
import org.bamboohatch.protocol.message.ControlReply;
import org.bamboohatch.protocol.message.ControlReply.EvacuationChanged;
import org.bamboohatch.protocol.message.ControlReply.Undecided;
import org.bamboohatch.protocol.message.ControlRequest.ChangeEvacuation;
import org.bamboohatch.protocol.transport.Exchange;
import org.bamboohatch.replication.driver.ProposalResult;
import org.bamboohatch.replication.driver.ReplicaService;

/** Handles orders to evacuate availability zones. */
final class EvacuationRequests {

    /**
     * Maximum time for which the reply to an order waits until the gateways apply it, in milliseconds. Operators send an
     * order again after a second without an acknowledgement.
     */
    private static final long ACKNOWLEDGEMENT_TIMEOUT_MS = 600;

    private final DecisionLog log = new DecisionLog("control");

    private final LeaderSession session;

    private final ControlSettings settings;

    private final ReplicaService replica;

    private final ControlStateMachine stateMachine;

    /**
     * Creates a handler that serves while the session leads.
     *
     * @param session the leader's state and held replies
     * @param settings settings of the control process, which may name the zones
     * @param replica the replica to propose commands to
     * @param stateMachine the replicated state
     */
    EvacuationRequests(
            LeaderSession session, ControlSettings settings, ReplicaService replica, ControlStateMachine stateMachine) {
        this.session = session;
        this.settings = settings;
        this.replica = replica;
        this.stateMachine = stateMachine;
    }

    /**
     * Proposes an order and replies once every live gateway applies the set that is then in effect, or after {@value
     * #ACKNOWLEDGEMENT_TIMEOUT_MS} ms. An order whose ticket has expired is not carried out. An order for a zone that the
     * settings do not name is refused. A repeated order is committed as well: only that shows that this process still leads
     * and that the order holds. Used on the replica's thread.
     *
     * @param request the order
     * @param ledgerTime supplies the current ledger time, in milliseconds
     * @param exchange receives the reply
     */
    void change(ChangeEvacuation request, LongSupplier ledgerTime, Exchange exchange) {
        session.refreshLeadership();
        if (session.leader() == null) {
            exchange.end(session.notLeader());
            return;
        }
        if (!session.isTimely(request.ticket(), ReplicaService.now())) {
            exchange.end(new ControlReply.OrderExpired());
            return;
        }
        if (!isNamed(request.zone())) {
            exchange.end(new ControlReply.Invalid(List.of("the settings name no availability zone " + request.zone())));
            return;
        }
        Supplier<byte[]> command = () -> ControlStateMachine.encode(new Command(ledgerTime.getAsLong(), request));
        replica.propose(command).thenAccept(proposal -> replica.execute(() -> onDecided(request, proposal, exchange)));
    }

    private void onDecided(ChangeEvacuation request, ProposalResult proposal, Exchange exchange) {
        session.refreshLeadership();
        if (!(proposal instanceof ProposalResult.Applied applied)) {
            boolean notLeader = proposal instanceof ProposalResult.NotLeader;
            exchange.end(notLeader ? session.notLeader() : new Undecided("leadership changed before it was decided"));
        } else if (applied.result() instanceof EvacuationChanged changed) {
            log.line(Category.STATE_CHANGE, "evacuation")
                    .with("zone", request.zone())
                    .with("order", request.evacuated() ? "begun" : "ended")
                    .with("version", changed.evacuated().version())
                    .with("evacuated", changed.evacuated().zones())
                    .write();
            session.holdForAcknowledgement(
                    ACKNOWLEDGEMENT_TIMEOUT_MS,
                    () -> isAppliedByGateways(changed.evacuated().version()),
                    () -> exchange.end(changed));
            session.releaseChanged();
        } else {
            exchange.end((ControlReply) applied.result());
        }
    }

    /**
     * Indicates whether an order for a zone is accepted.
     *
     * @param zone the zone
     * @return true as well for an evacuated zone that the settings name no longer, so that its evacuation can be ended
     */
    private boolean isNamed(ZoneName zone) {
        return settings.zones().isEmpty()
                || settings.zones().contains(zone)
                || stateMachine.evacuations().current().contains(zone);
    }

    private boolean isAppliedByGateways(long version) {
        return session.leader() != null
                && session.leader().gateways().allApplyEvacuation(version, ReplicaService.now());
    }
}
