package org.bamboohatch.replication.message;

/** Kinds of log entry. */
public enum EntryKind {
    /** Marks the beginning of a term; carries nothing. */
    NOOP,
    /** Carries a command for the state machine. */
    COMMAND,
    /** Carries a membership. */
    MEMBERSHIP
}
