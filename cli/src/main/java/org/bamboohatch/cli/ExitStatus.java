package org.bamboohatch.cli;

/** Exit statuses of the command line. */
public enum ExitStatus {
    /** The command did what it says. */
    DONE(0),
    /** The change is committed but not in force everywhere yet. */
    PENDING(2),
    /** Another change came first. */
    CONFLICT(3),
    /** There is nothing with that name. */
    NOT_FOUND(4),
    /** The document or the stored data has errors. */
    INVALID(65),
    /** The command line is wrong. */
    USAGE(64),
    /** Control did not answer. */
    UNREACHABLE(69);

    /** The number. */
    private final int number;

    /**
     * Creates a status.
     *
     * @param number the number
     */
    ExitStatus(int number) {
        this.number = number;
    }

    /**
     * Returns the number.
     *
     * @return the number that the shell sees
     */
    public int number() {
        return number;
    }
}
