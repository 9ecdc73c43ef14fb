package org.bamboohatch.cli;

/** Exit statuses of the command line. */
public enum ExitStatus {
    /** The command was successful. */
    DONE(0),
    /** The change is committed but not yet in force in every availability zone. */
    PENDING(2),
    /** Another change to the same revision was committed first. */
    CONFLICT(3),
    /** There is no object with the given name. */
    NOT_FOUND(4),
    /** The document, the stored data or an input file is invalid or unreadable. */
    INVALID(65),
    /** The command line is invalid, or the results cannot be written. */
    USAGE(64),
    /** The control processes did not reply, have no leader or did not decide in time. */
    UNREACHABLE(69);

    private final int number;

    ExitStatus(int number) {
        this.number = number;
    }

    /** Returns the number with which the process exits. */
    public int number() {
        return number;
    }
}
