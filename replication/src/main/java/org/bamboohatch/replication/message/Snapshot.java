package org.bamboohatch.replication.message;

/**
 * The state of the state machine at one index of the log.
 *
 * @param index the index of the last entry that the state includes
 * @param term the term of the last entry that the state includes
 * @param membership the membership in force at the index
 * @param state the encoded state of the state machine
 */
public record Snapshot(long index, long term, Membership membership, byte[] state) {

    /** The snapshot of an empty log. */
    public static final Snapshot EMPTY = new Snapshot(0, 0, Membership.EMPTY, new byte[0]);
}
