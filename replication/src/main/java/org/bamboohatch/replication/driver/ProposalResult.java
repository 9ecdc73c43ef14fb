package org.bamboohatch.replication.driver;

/** The outcome of a proposal. */
public sealed interface ProposalResult {

    /**
     * The command was committed and applied, and as many replicas hold it as the desired number of voters needs.
     *
     * @param result the result from the state machine
     */
    record Applied(Object result) implements ProposalResult {}

    /** This replica is not the leader; the command was not proposed. */
    record NotLeader() implements ProposalResult {}

    /** Leadership was lost before the outcome was known; the command may still be applied. */
    record OutcomeUnknown() implements ProposalResult {}
}
