package org.bamboohatch.routing.retry;

/**
 * The share of one client process in the rate of requests that a target takes from all processes together. Each process may
 * send one request in each interval of its own. The intervals of the processes begin at different times, and what is not
 * used at their beginning is lost, so the processes keep to the rate without agreement about each request.
 *
 * @param perSecond requests per second that the target takes from all processes together
 * @param nextAt beginning of the first interval in which this process has not sent a request, in milliseconds
 * @param intervalMillis length of the intervals, in milliseconds
 */
public record RateShare(double perSecond, double nextAt, double intervalMillis) {

    /**
     * Lowest rate that is applied, in requests per second. A target that takes none still gets a request now and then,
     * whose response tells when the limit ends.
     */
    static final double MIN_RATE = 0.1;

    /**
     * Time from the beginning of an interval in which the request may be sent, in milliseconds. If it could be saved up, all
     * processes might send theirs at once when load returns after a quiet time.
     */
    static final double USABLE_MS = 1_000;

    private static final double MILLIS_PER_SECOND = 1_000;

    /**
     * Creates the share of a process when it hears of a limit.
     *
     * @param perSecond requests per second that the target takes from all processes together
     * @param processes number of processes
     * @param phase place of this process among them, from zero to one
     * @param now current time, in milliseconds
     * @return the share
     */
    public static RateShare first(double perSecond, int processes, double phase, long now) {
        double intervalMillis = intervalMillis(perSecond, processes);
        return new RateShare(perSecond, now + phase * intervalMillis, intervalMillis);
    }

    private static double intervalMillis(double perSecond, int processes) {
        return MILLIS_PER_SECOND * Math.max(1, processes) / Math.max(MIN_RATE, perSecond);
    }

    /**
     * Returns the beginning of the interval in which this process may send its next request.
     *
     * @param now current time, in milliseconds
     * @return the present interval if no request was sent in it, otherwise the next one
     */
    private double currentAt(long now) {
        return nextAt + Math.max(0, Math.floor((now - nextAt) / intervalMillis)) * intervalMillis;
    }

    /**
     * Returns the earliest time at which this process may send a request.
     *
     * @param now current time, in milliseconds
     * @return the time in milliseconds, not after the current time if a request may be sent now
     */
    public long nextSendAt(long now) {
        double currentAt = currentAt(now);
        return (long) Math.ceil(now - currentAt <= USABLE_MS ? currentAt : currentAt + intervalMillis);
    }

    /**
     * Returns the share after a request was sent.
     *
     * @param processes number of processes
     * @param now current time, in milliseconds
     * @return the updated share
     */
    public RateShare afterSend(int processes, long now) {
        double nextIntervalMillis = intervalMillis(perSecond, processes);
        return new RateShare(perSecond, currentAt(now) + nextIntervalMillis, nextIntervalMillis);
    }

    /**
     * Returns the share after the target has named another rate.
     *
     * @param nextPerSecond the new rate, in requests per second
     * @param processes number of processes
     * @param now current time, in milliseconds
     * @return the updated share; the next request waits for one interval of the new rate at most
     */
    public RateShare withRate(double nextPerSecond, int processes, long now) {
        double nextIntervalMillis = intervalMillis(nextPerSecond, processes);
        return new RateShare(nextPerSecond, Math.min(nextAt, now + nextIntervalMillis), nextIntervalMillis);
    }
}
