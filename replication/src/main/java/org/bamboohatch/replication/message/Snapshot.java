package org.bamboohatch.replication.message;

/**
 * State of the state machine at one point of the log.
 *
 * @param index index of the last entry that it contains
 * @param term term of that entry
 * @param membership the membership at that point
 * @param state the state of the state machine
 */
public record Snapshot(long index, long term, Membership membership, byte[] state) {

    /** The snapshot of an empty log. */
    public static final Snapshot EMPTY = new Snapshot(0, 0, Membership.EMPTY, new byte[0]);
}
