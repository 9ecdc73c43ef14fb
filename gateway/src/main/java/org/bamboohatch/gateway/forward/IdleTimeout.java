package org.bamboohatch.gateway.forward;

import org.bamboohatch.routing.fleet.Demand;
import org.bamboohatch.routing.fleet.Placement;

/** Computes how long a target may send nothing before the request is sent to another target. */
final class IdleTimeout {

    /** Lower bound of the time after which callers abandon a stalled stream, in milliseconds. */
    private static final double MIN_CALLER_TIMEOUT_MS = 2_000;

    /** Time after which callers abandon a stream that has not begun, as a multiple of the route's target latency. */
    private static final double FIRST_EVENT_CALLER_FACTOR = 4;

    /** Time after which callers abandon a stream that has stalled, as a multiple of its maximum inter-token latency. */
    private static final double NEXT_EVENT_CALLER_FACTOR = 8;

    /** Fraction of the callers' timeout granted to a target for its first event; the rest is left for another target. */
    private static final double FIRST_EVENT_FRACTION = 0.5;

    /** Fraction of the callers' timeout granted to a target for each further event. */
    private static final double NEXT_EVENT_FRACTION = 0.7;

    /** Multiple of the predicted time to first token that is granted, because engines prefill newer prompts first. */
    private static final double PREDICTION_FACTOR = 3;

    /** Margin on the predicted time for engine passes and for latency between availability zones, in milliseconds. */
    private static final double PREDICTION_MARGIN_MS = 1_000;

    /** Idle timeout of a service whose responses are no streams, as a multiple of the route's target latency. */
    private static final double PLAIN_SERVICE_FACTOR = 2;

    private IdleTimeout() {}

    /**
     * Returns the idle timeout of a target.
     *
     * @param demand what the request needs
     * @param placement the targets, with the predicted time to first token
     * @param streaming whether the target has already sent events
     * @return the timeout in milliseconds
     */
    static long millis(Demand demand, Placement placement, boolean streaming) {
        boolean streams = streaming || demand.isGeneration() || demand.maximumInterTokenMillis() > 0;
        if (!streams) {
            return (long) (PLAIN_SERVICE_FACTOR * demand.targetLatencyMillis());
        }
        double nextEvent = Math.max(MIN_CALLER_TIMEOUT_MS, NEXT_EVENT_CALLER_FACTOR * demand.maximumInterTokenMillis());
        if (streaming) {
            return (long) (NEXT_EVENT_FRACTION * nextEvent);
        }
        double firstEvent = Math.max(nextEvent, FIRST_EVENT_CALLER_FACTOR * demand.targetLatencyMillis());
        double predicted = PREDICTION_FACTOR * placement.timeToFirstTokenMillis() + PREDICTION_MARGIN_MS;
        return (long) Math.max(FIRST_EVENT_FRACTION * firstEvent, predicted);
    }
}
