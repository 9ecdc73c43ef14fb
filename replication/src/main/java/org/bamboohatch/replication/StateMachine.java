package org.bamboohatch.replication;

/** A deterministic machine that the log drives; called by one thread. */
public interface StateMachine {

    /**
     * Applies a committed command.
     *
     * @param index index of the entry
     * @param command the command
     * @return the result, told to the proposer
     */
    Object apply(long index, byte[] command);

    /**
     * Returns the whole state.
     *
     * @return the encoded state
     */
    byte[] snapshot();

    /**
     * Replaces the whole state.
     *
     * @param state the encoded state, empty for the initial state
     */
    void restore(byte[] state);
}
