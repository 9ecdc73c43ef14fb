package org.bamboohatch.routing.retry;

/**
 * Limit on the concurrent requests of a target that has just started, recovered or become warm, learned from its responses by
 * additive increase and multiplicative decrease. Made for targets that look idle beside busy ones, so that all processes
 * prefer them, although their speed is not known yet.
 *
 * @param limit number of requests that the target may run for all processes together
 * @param neededAt time at which the limit was last reached, initially that of its begin, in milliseconds
 * @param increasedAt time of the last response in time, in milliseconds; {@link Long#MIN_VALUE} if there was none
 * @param decreasedAt time of the last decrease, in milliseconds; {@link Long#MIN_VALUE} if there was none
 */
public record ConcurrencyRamp(int limit, long neededAt, long increasedAt, long decreasedAt) {

    /** First limit: enough to learn from more than one response at a time. */
    static final int FIRST_LIMIT = 2;

    /** Time after which a limit that no request needs is not wanted any more, in milliseconds. */
    static final long UNNEEDED_MS = 30_000;

    /** Time within which failures at several processes have the same reason, in milliseconds. */
    public static final long SAME_FAILURE_MS = 1_000;

    /** Difference below which two processes mean the same need; above the delay of reports, in milliseconds. */
    private static final long SAME_NEED_MS = 1_000;

    /** Factor by which the first event of a response in time may be later than predicted. */
    private static final double PREDICTION_TOLERANCE = 2;

    /**
     * Creates the limit of a target that gets its first requests.
     *
     * @param now current time, in milliseconds
     * @return the limit
     */
    public static ConcurrencyRamp begin(long now) {
        return new ConcurrencyRamp(FIRST_LIMIT, now, Long.MIN_VALUE, Long.MIN_VALUE);
    }

    /**
     * Indicates whether a response is as early as that of a target at its full speed.
     *
     * @param firstEventMillis time from the send to the first event or the response of a plain service, in milliseconds
     * @param predictedMillis predicted time, in milliseconds; zero if it was not predicted
     * @param objectiveMillis latency objective of the request, in milliseconds
     * @return whether it came within its objective or twice the predicted time
     */
    public static boolean isInTime(double firstEventMillis, double predictedMillis, double objectiveMillis) {
        return firstEventMillis <= Math.max(PREDICTION_TOLERANCE * predictedMillis, objectiveMillis);
    }

    /**
     * Indicates whether the target may not be sent another request.
     *
     * @param runs known number of its requests
     * @return whether they have reached the limit
     */
    public boolean holdsOff(int runs) {
        return runs >= limit;
    }

    /**
     * Returns the limit after a request was not sent to the target because of it.
     *
     * @param now current time, in milliseconds
     * @return the updated limit
     */
    public ConcurrencyRamp afterHoldOff(long now) {
        return new ConcurrencyRamp(limit, now, increasedAt, decreasedAt);
    }

    /**
     * Returns the limit after a response in time. Responses to requests from before the last decrease show nothing about the
     * present limit.
     *
     * @param sentAt time at which the request was sent, in milliseconds
     * @param now current time, in milliseconds
     * @return the updated limit
     */
    public ConcurrencyRamp afterSuccess(long sentAt, long now) {
        return sentAt < decreasedAt ? this : new ConcurrencyRamp(limit + 1, neededAt, now, decreasedAt);
    }

    /**
     * Returns the limit after a late response or a failure. It is decreased once in the time of a response: what was sent
     * before the last decrease has no effect.
     *
     * @param sentAt time at which the request was sent, in milliseconds
     * @param now current time, in milliseconds
     * @return the updated limit
     */
    public ConcurrencyRamp afterFailure(long sentAt, long now) {
        return sentAt < decreasedAt ? this : new ConcurrencyRamp(Math.max(1, limit / 2), neededAt, increasedAt, now);
    }

    /**
     * Applies what another process has learned of the target. A decrease of which this process does not know is taken over;
     * about the same time, both have halved for the same reason. Otherwise the highest limit holds, unless it is from before
     * a decrease that only this process knows. The same need again has no effect: the delay of each repetition would otherwise
     * make it younger, so that the ramp might never end.
     *
     * @param other the limit at the other process, with times of this process
     * @return the updated limit
     */
    public ConcurrencyRamp merge(ConcurrencyRamp other) {
        long lastNeededAt = other.neededAt - neededAt > SAME_NEED_MS ? other.neededAt : neededAt;
        if (isLater(other.decreasedAt, decreasedAt)) {
            return new ConcurrencyRamp(Math.min(limit, other.limit), lastNeededAt, increasedAt, other.decreasedAt);
        }
        boolean outdated = isLater(decreasedAt, other.decreasedAt);
        if (outdated || other.increasedAt <= increasedAt || other.increasedAt <= decreasedAt) {
            return new ConcurrencyRamp(limit, lastNeededAt, increasedAt, decreasedAt);
        }
        return new ConcurrencyRamp(Math.max(limit, other.limit), lastNeededAt, other.increasedAt, decreasedAt);
    }

    /**
     * Indicates whether one decrease followed another, rather than having the same reason.
     *
     * @param decrease time of the one, in milliseconds, or {@link Long#MIN_VALUE}
     * @param otherDecrease time of the other, in milliseconds, or {@link Long#MIN_VALUE}
     */
    private static boolean isLater(long decrease, long otherDecrease) {
        return decrease != Long.MIN_VALUE
                && (otherDecrease == Long.MIN_VALUE || decrease - otherDecrease > SAME_FAILURE_MS);
    }

    /**
     * Indicates whether the target needs no limit any more.
     *
     * @param slots number of requests that the target processes concurrently
     * @param now current time, in milliseconds
     * @return whether the limit has reached the slots, or was not reached for 30 seconds
     */
    public boolean isOver(int slots, long now) {
        return limit >= slots || now - neededAt >= UNNEEDED_MS;
    }
}
