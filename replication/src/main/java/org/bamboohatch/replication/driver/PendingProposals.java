package org.bamboohatch.replication.driver;

import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;

import org.bamboohatch.replication.consensus.ConsensusCore;
import org.bamboohatch.replication.consensus.Role;
import org.bamboohatch.replication.message.LogEntry;

/**
 * Proposals of a leader whose outcome is open: their entries are not applied yet, or too few replicas hold them. Used on the
 * replica thread only.
 */
final class PendingProposals {

    /** Proposals whose entries are not applied yet, by log index. */
    private final TreeMap<Long, Proposal> proposed = new TreeMap<>();

    /** Applied proposals whose entries too few replicas hold, by log index. */
    private final TreeMap<Long, AppliedProposal> underReplicated = new TreeMap<>();

    PendingProposals() {}

    /**
     * A proposal whose entry is not applied yet.
     *
     * @param term the term in which it was proposed
     * @param outcome completed with the result of the proposal
     */
    private record Proposal(long term, CompletableFuture<ProposalResult> outcome) {}

    /**
     * An applied proposal that is not acknowledged yet.
     *
     * @param outcome completed with the result once enough replicas hold the entry
     * @param result the result from the state machine
     */
    private record AppliedProposal(CompletableFuture<ProposalResult> outcome, Object result) {}

    void add(long index, long term, CompletableFuture<ProposalResult> outcome) {
        proposed.put(index, new Proposal(term, outcome));
    }

    /**
     * Notes that an entry was applied, and completes its proposal if enough replicas hold it.
     *
     * @param entry the applied entry
     * @param result the result from the state machine
     * @param core the consensus state
     */
    void onApplied(LogEntry entry, Object result, ConsensusCore core) {
        Proposal proposal = proposed.remove(entry.index());
        if (proposal == null) {
            return;
        }
        if (proposal.term() != entry.term()) {
            proposal.outcome().complete(new ProposalResult.OutcomeUnknown());
        } else if (core.isDurableAsDesired(entry.index())) {
            proposal.outcome().complete(new ProposalResult.Applied(result));
        } else {
            underReplicated.put(entry.index(), new AppliedProposal(proposal.outcome(), result));
        }
    }

    /**
     * Completes applied proposals that enough replicas hold by now, and those whose entries may be lost because leadership
     * was lost or the term has changed.
     *
     * @param core the consensus state
     */
    void settle(ConsensusCore core) {
        boolean leads = core.role() == Role.LEADER;
        while (!underReplicated.isEmpty() && (!leads || core.isDurableAsDesired(underReplicated.firstKey()))) {
            Map.Entry<Long, AppliedProposal> first = underReplicated.pollFirstEntry();
            AppliedProposal applied = first.getValue();
            applied.outcome()
                    .complete(
                            leads ? new ProposalResult.Applied(applied.result()) : new ProposalResult.OutcomeUnknown());
        }
        // Entries of an earlier term come first.
        while (!proposed.isEmpty()
                && (!leads || proposed.firstEntry().getValue().term() != core.term())) {
            proposed.pollFirstEntry().getValue().outcome().complete(new ProposalResult.OutcomeUnknown());
        }
    }
}
