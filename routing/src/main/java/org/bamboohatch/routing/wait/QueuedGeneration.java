package org.bamboohatch.routing.wait;

import java.util.Optional;

import org.bamboohatch.document.fleet.EngineCostModel;
import org.bamboohatch.kernel.id.AccountName;
import org.bamboohatch.routing.fleet.Demand;

/**
 * A generation that is to be sent to engines for the first time. Times are in milliseconds.
 *
 * @param number number of the request, unique within its gateway
 * @param account client account, empty if unknown
 * @param priority priority of the route or account; zero is the most urgent
 * @param demand what the request needs
 * @param arrivedAt time of arrival
 * @param deadline time by which the request must be answered
 * @param spread hash of the request id, from zero to one, that spreads the retries of refused callers
 */
public record QueuedGeneration(
        long number,
        Optional<AccountName> account,
        int priority,
        Demand demand,
        long arrivedAt,
        long deadline,
        double spread) {

    /** Shortest time for which a caller waits for the next event of its response. */
    private static final double MINIMUM_PATIENCE_MILLIS = 2_000;

    /** Multiple of the latency objective for which a caller waits. */
    private static final double PATIENCE_LATENCY_FACTOR = 4;

    /** Multiple of the maximum gap between events for which a caller waits. */
    private static final double PATIENCE_GAP_FACTOR = 8;

    /** Prefill time below which a request with a strict limit runs on one engine. */
    private static final double SHORT_PREFILL_MILLIS = 300;

    /**
     * Indicates whether the request is sent as soon as an engine has a free slot. Such a request is small and delays
     * others little, but its limit on the gap between events is strict.
     *
     * @param engine cost model of the engines
     * @return whether it has a strict limit and a short prompt
     */
    public boolean isStrict(EngineCostModel engine) {
        return demand.hasStrictInterTokenLatency()
                && engine.prefillMillis(demand.promptTokens()) < SHORT_PREFILL_MILLIS;
    }

    /**
     * Returns the time after which a first event is of no use: the caller has left, or the deadline has passed.
     *
     * @return the earlier of both times
     */
    public double latestFirstEventAt() {
        double patience = Math.max(
                MINIMUM_PATIENCE_MILLIS,
                Math.max(
                        PATIENCE_LATENCY_FACTOR * demand.targetLatencyMillis(),
                        PATIENCE_GAP_FACTOR * demand.maximumInterTokenMillis()));
        return Math.min(deadline, arrivedAt + patience);
    }

    /**
     * Returns the time at which the latency objective ends.
     *
     * @return the time by which the first event is wanted
     */
    public double wantedAt() {
        return arrivedAt + demand.targetLatencyMillis();
    }

    /**
     * Returns the share of the request's timeout that has passed.
     *
     * @param now current time
     * @return zero at the arrival, one at the deadline
     */
    double waitedShare(long now) {
        return (now - arrivedAt) / (double) Math.max(1, deadline - arrivedAt);
    }
}
