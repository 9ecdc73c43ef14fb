package org.bamboohatch.replication.driver;

/** What became of a proposal. */
public sealed interface Proposal {

    /**
     * The command was applied.
     *
     * @param result the result of the state machine
     */
    record Decided(Object result) implements Proposal {}

    /** This replica does not lead; the command was not proposed. */
    record NotLeader() implements Proposal {}

    /** Leadership was lost; the command may still be applied. */
    record Unknown() implements Proposal {}
}
