package org.bamboohatch.replication.driver;

/** What became of a proposal. */
public sealed interface ProposalResult {

    /**
     * The command was applied.
     *
     * @param result the result of the state machine
     */
    record Applied(Object result) implements ProposalResult {}

    /** This replica does not lead; the command was not proposed. */
    record NotLeader() implements ProposalResult {}

    /** Leadership was lost; the command may still be applied. */
    record OutcomeUnknown() implements ProposalResult {}
}
