package org.bamboohatch.gateway.forward;

/** Statuses of targets that decide what follows. */
final class TargetStatus {

    /** The target is not the expected one and did not run the request. */
    static final int MISDIRECTED = 421;

    /** The first status of a target's own failure. */
    static final int SERVER_ERROR = 500;

    /** Not instantiated. */
    private TargetStatus() {}
}
