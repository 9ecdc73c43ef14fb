package org.bamboohatch.gateway.forward;

import java.util.OptionalDouble;
import java.util.OptionalLong;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import org.bamboohatch.gateway.Dialect;
import org.bamboohatch.gateway.GatewayClock;
import org.bamboohatch.gateway.target.TargetAddress;
import org.bamboohatch.gateway.target.TargetConnectionPool;
import org.bamboohatch.kernel.log.DecisionLog;
import org.bamboohatch.kernel.log.DecisionLog.Category;

/** Records what targets report about themselves in their responses: that they leave, or want no requests for some time. */
final class TargetNotices implements TargetConnectionPool.ResponseObserver {

    private static final double MILLIS_PER_SECOND = 1_000;

    /** Longest cold time of a target that is taken over, in milliseconds; limits the effect of a nonsensical value. */
    private static final double MAX_COLD_MS = 600_000;

    private final Dialect dialect;

    private final TargetCatalog targets;

    private final DecisionLog log;

    /**
     * Creates an observer of responses.
     *
     * @param dialect names of the header fields
     * @param targets the known targets
     * @param log the decision log
     */
    TargetNotices(Dialect dialect, TargetCatalog targets, DecisionLog log) {
        this.dialect = dialect;
        this.targets = targets;
        this.log = log;
    }

    @Override
    public void onHead(TargetAddress target, HttpResponse head, OptionalLong requestSentAt) {
        if (head.status().code() == TargetStatus.MISDIRECTED) {
            // Another target has taken over the address; its notices are not about the one that was addressed.
            return;
        }
        long now = GatewayClock.now();
        if (head.headers().contains(dialect.leaving()) && targets.recordLeaving(target, now)) {
            log.line(Category.STATE_CHANGE, "leaving")
                    .with("target", target.target())
                    .write();
        }
        observeLimit(target, head, requestSentAt, now);
        coldMillis(head).ifPresent(millis -> targets.recordCold(target, millis, requestSentAt, now));
        pauseMillis(head).ifPresent(millis -> {
            targets.recordPauseRequest(target, millis, now);
            log.line(Category.FAILURE, "paused")
                    .with("target", target.target())
                    .with("forMs", millis)
                    .write();
        });
    }

    private void observeLimit(TargetAddress target, HttpResponse head, OptionalLong requestSentAt, long now) {
        OptionalDouble perSecond = rateLimit(head);
        if (perSecond.isPresent()) {
            if (targets.recordLimit(target, perSecond.getAsDouble(), now)) {
                log.line(Category.STATE_CHANGE, "limited")
                        .with("target", target.target())
                        .with("perSecond", perSecond.getAsDouble())
                        .write();
            }
        } else if (!head.headers().contains(dialect.rateLimit())
                && requestSentAt.isPresent()
                && targets.recordNoLimit(target, requestSentAt.getAsLong(), now)) {
            log.line(Category.STATE_CHANGE, "unlimited")
                    .with("target", target.target())
                    .write();
        }
    }

    /**
     * Returns the number of requests that a target takes from all gateways together.
     *
     * @param head head of a response
     * @return the number per second, empty if the response names none or the value is malformed or negative
     */
    OptionalDouble rateLimit(HttpResponse head) {
        String value = head.headers().get(dialect.rateLimit());
        if (value == null) {
            return OptionalDouble.empty();
        }
        try {
            double perSecond = Double.parseDouble(value.strip());
            return perSecond >= 0 && Double.isFinite(perSecond) ? OptionalDouble.of(perSecond) : OptionalDouble.empty();
        } catch (NumberFormatException malformed) {
            return OptionalDouble.empty();
        }
    }

    /**
     * Returns the time for which a target is still cold.
     *
     * @param head head of a response
     * @return the time in milliseconds, empty if the response does not say or the value is malformed or negative
     */
    OptionalLong coldMillis(HttpResponse head) {
        String value = head.headers().get(dialect.cold());
        if (value == null) {
            return OptionalLong.empty();
        }
        try {
            double millis = Double.parseDouble(value.strip());
            return millis >= 0 ? OptionalLong.of(Math.round(Math.min(MAX_COLD_MS, millis))) : OptionalLong.empty();
        } catch (NumberFormatException malformed) {
            return OptionalLong.empty();
        }
    }

    /**
     * Returns the time for which a target wants no requests. Only a number of seconds is understood, possibly with a
     * fraction. A date is ignored, because the clocks of the two hosts may differ by more than the time meant.
     *
     * @param head head of a response
     * @return the time in milliseconds, empty if the response asks for none or the value is malformed or not positive
     */
    static OptionalLong pauseMillis(HttpResponse head) {
        String value = head.headers().get(HttpHeaderNames.RETRY_AFTER);
        if (value == null || !head.status().equals(HttpResponseStatus.SERVICE_UNAVAILABLE)) {
            return OptionalLong.empty();
        }
        try {
            double seconds = Double.parseDouble(value.strip());
            return seconds > 0 ? OptionalLong.of((long) (seconds * MILLIS_PER_SECOND)) : OptionalLong.empty();
        } catch (NumberFormatException malformed) {
            return OptionalLong.empty();
        }
    }
}
