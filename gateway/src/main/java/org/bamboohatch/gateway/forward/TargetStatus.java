package org.bamboohatch.gateway.forward;

import io.netty.handler.codec.http.HttpResponse;
import org.bamboohatch.gateway.Dialect;

/** Response statuses of targets that decide whether a request is sent again. */
final class TargetStatus {

    /** Status of a target that is not the expected one and did not run the request. */
    static final int MISDIRECTED = 421;

    /** Lowest status that reports a failure of the target itself. */
    static final int SERVER_ERROR = 500;

    private TargetStatus() {}

    /**
     * Indicates whether a response states that the target did not run the request.
     *
     * @param head head of the response
     * @param dialect names of the header fields
     * @return whether the request was not run
     */
    static boolean isNotExecuted(HttpResponse head, Dialect dialect) {
        return head.status().code() == MISDIRECTED || head.headers().contains(dialect.notExecuted());
    }
}
