package org.bamboohatch.http;

import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.BooleanSupplier;

import org.eclipse.jetty.http.HttpVersion;
import org.eclipse.jetty.io.EndPoint;
import org.eclipse.jetty.server.Request;

/** Observes whether the caller of a request without a body still waits for the response. */
public final class CallerPresence {

    private final BooleanSupplier left;

    private CallerPresence(BooleanSupplier left) {
        this.left = left;
    }

    /**
     * Observes the caller of a request from now on.
     *
     * @param request a request whose body, if any, is not read while the caller is observed
     * @return the presence of its caller
     */
    public static CallerPresence of(Request request) {
        EndPoint endPoint = request.getConnectionMetaData().getConnection().getEndPoint();
        boolean oneRequestAtATime =
                request.getConnectionMetaData().getHttpVersion().getVersion() <= HttpVersion.HTTP_1_1.getVersion();
        if (oneRequestAtATime && endPoint instanceof PeekingEndPoint peeking) {
            return new CallerPresence(peeking::isClosedByPeer);
        }
        AtomicBoolean failed = new AtomicBoolean();
        request.addFailureListener(failure -> failed.set(true));
        return new CallerPresence(failed::get);
    }

    /**
     * Indicates whether the caller has closed its connection or cancelled the request.
     *
     * @return false if that is not known
     */
    public boolean hasLeft() {
        return left.getAsBoolean();
    }
}
