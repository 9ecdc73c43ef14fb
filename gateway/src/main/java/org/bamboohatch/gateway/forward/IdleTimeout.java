package org.bamboohatch.gateway.forward;

import org.bamboohatch.routing.fleet.Demand;
import org.bamboohatch.routing.fleet.Placement;

/** Tells for how long a target may be silent before the request goes to another one. */
final class IdleTimeout {

    /** Shortest time after which callers leave a stream that is silent, in milliseconds. */
    private static final double CALLER_PATIENCE_MS = 2_000;

    /** Time after which callers leave a stream that has not begun, in relation to the route's target latency. */
    private static final double FIRST_PATIENCE_FACTOR = 4;

    /** Time after which callers leave a stream that is silent, in relation to the longest pause of a timely one. */
    private static final double PAUSE_PATIENCE_FACTOR = 8;

    /** Part of the callers' patience after which a target that has not begun is given up; the rest is for another. */
    private static final double FIRST_SHARE = 0.5;

    /** Part of the callers' patience after which a target that has fallen silent is given up. */
    private static final double PAUSE_SHARE = 0.7;

    /** Time in relation to the predicted one in which a first event still may come: engines read newer prompts first. */
    private static final double PREDICTED_FACTOR = 3;

    /** Time that is added to the predicted one, in milliseconds: passes of the engines and ways between zones. */
    private static final double PREDICTED_MARGIN_MS = 1_000;

    /** Silence of a plain service in relation to the route's target latency. */
    private static final double PLAIN_SILENCE_FACTOR = 2;

    /** Not instantiated. */
    private IdleTimeout() {}

    /**
     * Tells for how long a target may be silent.
     *
     * @param demand what the request asks
     * @param placement the targets
     * @param writing whether events have been coming
     * @return the time in milliseconds
     */
    static long silenceMillis(Demand demand, Placement placement, boolean writing) {
        if (!demand.isGeneration()) {
            return (long) (PLAIN_SILENCE_FACTOR * demand.targetLatencyMillis());
        }
        double pause = Math.max(CALLER_PATIENCE_MS, PAUSE_PATIENCE_FACTOR * demand.maximumInterTokenMillis());
        if (writing) {
            return (long) (PAUSE_SHARE * pause);
        }
        double first = Math.max(pause, FIRST_PATIENCE_FACTOR * demand.targetLatencyMillis());
        double predicted = PREDICTED_FACTOR * placement.timeToFirstTokenMillis() + PREDICTED_MARGIN_MS;
        return (long) Math.max(FIRST_SHARE * first, predicted);
    }
}
