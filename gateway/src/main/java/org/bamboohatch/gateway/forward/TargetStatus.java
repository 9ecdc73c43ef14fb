package org.bamboohatch.gateway.forward;

import io.netty.handler.codec.http.HttpResponse;
import org.bamboohatch.gateway.Dialect;

/** Statuses of targets that decide what follows. */
final class TargetStatus {

    /** The target is not the expected one and did not run the request. */
    static final int MISDIRECTED = 421;

    /** The first status of a target's own failure. */
    static final int SERVER_ERROR = 500;

    /** Not instantiated. */
    private TargetStatus() {}

    /**
     * Tells whether a target says that it did not run the request.
     *
     * @param head head of its answer
     * @param dialect names of the header fields
     * @return whether it says so
     */
    static boolean isNotExecuted(HttpResponse head, Dialect dialect) {
        return head.status().code() == MISDIRECTED || head.headers().contains(dialect.notExecuted());
    }
}
