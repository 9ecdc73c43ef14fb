package org.bamboohatch.routing.retry;

/**
 * Cold time of one incarnation of a target, as it was last stated. Made for targets that start or recover, one or a whole
 * zone at a time, while their service is busy: what they say arrives on several ways with different delays.
 *
 * @param endsAt end of the cold time, in milliseconds; not after {@code statedAt} if the target is warm
 * @param statedAt time at which this was stated, in milliseconds
 */
public record ColdPeriod(long endsAt, long statedAt) {

    /**
     * Difference between the ends in two statements from which on they are about different cold times, in milliseconds.
     * Below it, the later end is that of the statement that was longer on its way. The target is treated as cold for this
     * time beyond the end, as a cold time that begins anew may end so much later.
     */
    static final long TOLERANCE_MS = 250;

    /** Longest cold time, in milliseconds; limits the effect of a nonsensical value. */
    private static final long MAX_COLD_MS = 600_000;

    /** Time for which a target of which nothing is known is cold. */
    public static final ColdPeriod NONE = new ColdPeriod(Long.MIN_VALUE, Long.MIN_VALUE);

    /**
     * Creates what a target states.
     *
     * @param coldMillis time for which the target is still cold, in milliseconds; zero if it is warm, at most ten minutes
     *     count
     * @param statedAt time at which this was stated, in milliseconds
     * @return the statement
     */
    public static ColdPeriod of(long coldMillis, long statedAt) {
        return new ColdPeriod(statedAt + Math.max(0, Math.min(MAX_COLD_MS, coldMillis)), statedAt);
    }

    /**
     * Applies another statement. The later one holds. Statements about the same cold time retain its earliest end, which is
     * the one with the shortest delay and nearly the same at all processes. The same statement again, as processes repeat it to
     * each other, has no effect: its delay would otherwise make it younger each time, until it hides a later statement.
     *
     * @param statement the other statement
     * @return this period if the statement is older, otherwise what the statement says
     */
    public ColdPeriod after(ColdPeriod statement) {
        if (statement.statedAt < statedAt || isRepeatedBy(statement)) {
            return this;
        }
        boolean delayed =
                endsAt > statement.statedAt && statement.endsAt > endsAt && statement.endsAt - endsAt <= TOLERANCE_MS;
        return new ColdPeriod(delayed ? endsAt : statement.endsAt, statement.statedAt);
    }

    private boolean isRepeatedBy(ColdPeriod statement) {
        boolean bothCold = endsAt > statedAt && statement.endsAt > statement.statedAt;
        boolean bothWarm = endsAt <= statedAt && statement.endsAt <= statement.statedAt;
        return (bothCold || bothWarm)
                && statement.statedAt - statedAt <= TOLERANCE_MS
                && statement.endsAt >= endsAt
                && statement.endsAt - endsAt <= TOLERANCE_MS;
    }

    /**
     * Indicates whether the target is cold.
     *
     * @param now current time, in milliseconds
     * @return whether its last statement was that it is cold and the cold time is not over
     */
    public boolean isCold(long now) {
        return endsAt > statedAt && now < warmAt();
    }

    /**
     * Returns the time from which the target is treated as warm.
     *
     * @return the time in milliseconds, a tolerance after the end of the cold time
     */
    public long warmAt() {
        return endsAt == Long.MIN_VALUE ? endsAt : endsAt + TOLERANCE_MS;
    }
}
