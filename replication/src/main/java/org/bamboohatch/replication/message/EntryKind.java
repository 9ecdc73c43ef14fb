package org.bamboohatch.replication.message;

/** Kinds of log entries. */
public enum EntryKind {
    /** Starts a leader's term and carries no data. */
    NOOP,
    /** Carries a command for the state machine. */
    COMMAND,
    /** Carries an encoded {@link Membership}. */
    MEMBERSHIP
}
