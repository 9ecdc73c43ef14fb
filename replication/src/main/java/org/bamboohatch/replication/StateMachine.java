package org.bamboohatch.replication;

/** A deterministic state machine that is driven by the replicated log. All methods are invoked by a single thread. */
public interface StateMachine {

    /**
     * Applies a committed command.
     *
     * @param index log index of the command's entry
     * @param command the encoded command, as it was proposed
     * @return the result of the command, which the proposer receives
     */
    Object apply(long index, byte[] command);

    /**
     * Encodes the complete current state.
     *
     * @return the encoded state, accepted by {@link #restore(byte[])}
     */
    byte[] snapshot();

    /**
     * Replaces the complete state.
     *
     * @param state the encoded state, empty for the initial state
     */
    void restore(byte[] state);
}
