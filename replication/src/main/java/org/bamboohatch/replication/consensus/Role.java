package org.bamboohatch.replication.consensus;

/** Roles of a replica. */
public enum Role {
    /** Receives entries. */
    FOLLOWER,
    /** Asks whether it could win an election. */
    PRE_CANDIDATE,
    /** Stands for election. */
    CANDIDATE,
    /** Decides the order of entries. */
    LEADER
}
