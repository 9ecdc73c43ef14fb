package org.bamboohatch.control.server;

import java.util.function.LongSupplier;

import org.bamboohatch.control.state.Command;
import org.bamboohatch.control.state.ControlStateMachine;
import org.bamboohatch.kernel.log.DecisionLog;
import org.bamboohatch.kernel.log.DecisionLog.Category;
import org.bamboohatch.protocol.message.ControlReply;
import org.bamboohatch.protocol.message.ControlReply.Undecided;
import org.bamboohatch.protocol.message.ControlRequest.RecordCrashes;
import org.bamboohatch.protocol.message.CrashEvidence;
import org.bamboohatch.protocol.transport.Exchange;
import org.bamboohatch.replication.driver.ProposalResult;
import org.bamboohatch.replication.driver.ReplicaService;

/** Handles evidence against requests that end targets; used on the replica's thread only. */
final class CrashRequests {

    private final DecisionLog log = new DecisionLog("control");

    private final LeaderSession session;

    private final ReplicaService replica;

    private final ControlStateMachine stateMachine;

    /**
     * Creates a handler that serves while the session leads.
     *
     * @param session the leader's state
     * @param replica the replica to propose commands to
     * @param stateMachine the replicated state
     */
    CrashRequests(LeaderSession session, ReplicaService replica, ControlStateMachine stateMachine) {
        this.session = session;
        this.replica = replica;
        this.stateMachine = stateMachine;
    }

    /**
     * Proposes evidence, unless it is recorded already, as by another gateway that has observed the same.
     *
     * @param request the evidence
     * @param ledgerTime supplies the current ledger time, in milliseconds
     * @param exchange receives the reply
     */
    void record(RecordCrashes request, LongSupplier ledgerTime, Exchange exchange) {
        CrashEvidence evidence = request.evidence();
        if (session.isConfirmedSince(Long.MIN_VALUE)
                && !stateMachine.crashes().isNew(evidence, ledgerTime.getAsLong())) {
            exchange.end(new ControlReply.CrashesRecorded());
            return;
        }
        replica.propose(() -> ControlStateMachine.encode(Command.recording(ledgerTime.getAsLong(), evidence)))
                .thenAccept(proposal -> replica.execute(() -> onDecided(evidence, proposal, exchange)));
    }

    private void onDecided(CrashEvidence evidence, ProposalResult proposal, Exchange exchange) {
        if (proposal instanceof ProposalResult.Applied) {
            log.line(Category.STATE_CHANGE, "crashes-recorded")
                    .with("crashes", evidence.crashes().size())
                    .with("responses", evidence.generated().size())
                    .write();
            exchange.end(new ControlReply.CrashesRecorded());
        } else if (proposal instanceof ProposalResult.NotLeader) {
            exchange.end(session.notLeader());
        } else {
            exchange.end(new Undecided("leadership changed before the evidence was recorded"));
        }
    }
}
