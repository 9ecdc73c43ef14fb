package org.bamboohatch.replication.consensus;

/** Roles of a replica in the consensus. */
public enum Role {
    /** Receives entries from the leader. */
    FOLLOWER,
    /** Asks whether it could win an election, without increasing the term. */
    PRE_CANDIDATE,
    /** Requests votes in an election. */
    CANDIDATE,
    /** Accepts proposals and replicates log entries. */
    LEADER
}
