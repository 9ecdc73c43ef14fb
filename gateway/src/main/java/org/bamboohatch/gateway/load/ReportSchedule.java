package org.bamboohatch.gateway.load;

/**
 * Decides how often load reports are sent. Gateways of the same availability zone share most of their targets and need
 * recent reports; the others get theirs less often the more there are, so that the number of reports that each gateway
 * receives is limited.
 */
final class ReportSchedule {

    /**
     * Interval of reports to gateways of the same zone, in milliseconds. With a longer interval, gateways overload targets
     * because they don't know of each other's recent placements.
     */
    static final long NEAR_INTERVAL_MS = 15;

    /** Interval at which all load is reported, which corrects for lost reports, in milliseconds. */
    static final long COMPLETE_INTERVAL_MS = 1_000;

    /**
     * Interval at which a report is sent even if there is nothing to report, in milliseconds. It tells gateways that missed
     * the reports after a start the zone of this gateway.
     */
    static final long PRESENCE_INTERVAL_MS = 5_000;

    /**
     * Interval at which arrived reports are read while there is nothing to send or to decide, in milliseconds. In this time,
     * the receive buffer of a usual operating system holds the reports that 350 gateways send.
     */
    static final long READ_INTERVAL_MS = 50;

    /**
     * Time from a change to its report, in milliseconds, so that changes with the same cause are reported together. It is
     * half of the interval, as with a fixed interval on average.
     */
    private static final long CHANGE_DELAY_MS = NEAR_INTERVAL_MS / 2;

    /** Number of gateways in other zones up to which they get reports as often as those of the same zone. */
    private static final int FEW_GATEWAYS = 8;

    /** Time added to the interval for each gateway in another zone, in milliseconds. */
    private static final long INTERVAL_PER_GATEWAY_MS = 6;

    /** Longest interval of reports to gateways in other zones, in milliseconds. */
    private static final long MAX_FAR_INTERVAL_MS = 500;

    private ReportSchedule() {}

    /**
     * Returns the interval of reports to gateways in other zones.
     *
     * @param gateways number of gateways in other zones
     * @return the interval in milliseconds
     */
    static long farIntervalMillis(int gateways) {
        if (gateways <= FEW_GATEWAYS) {
            return NEAR_INTERVAL_MS;
        }
        return Math.min(MAX_FAR_INTERVAL_MS, gateways * INTERVAL_PER_GATEWAY_MS);
    }

    /**
     * Returns the time from a change until it is reported to the gateways of the same zone.
     *
     * @param sinceTick time since the last tick, in milliseconds
     * @return the delay in milliseconds
     */
    static long changeDelayMillis(long sinceTick) {
        return Math.max(CHANGE_DELAY_MS, NEAR_INTERVAL_MS - sinceTick);
    }

    /**
     * Returns the time from a tick to the next one, unless something changes. Each tick wakes the event loop, so there are
     * no more of them than are needed.
     *
     * @param newcomer whether complete reports are due for a gateway that has started
     * @param sinceComplete time since the last complete report, in milliseconds
     * @param farChanges whether there are changes that gateways in other zones do not know yet
     * @param sinceFar time since the last report to gateways in other zones, in milliseconds
     * @param farGateways number of gateways in other zones
     * @return the time in milliseconds
     */
    static long nextTickMillis(
            boolean newcomer, long sinceComplete, boolean farChanges, long sinceFar, int farGateways) {
        if (newcomer) {
            return NEAR_INTERVAL_MS;
        }
        long delay = Math.min(READ_INTERVAL_MS, COMPLETE_INTERVAL_MS - sinceComplete);
        if (farChanges) {
            delay = Math.min(delay, farIntervalMillis(farGateways) - sinceFar);
        }
        return Math.max(NEAR_INTERVAL_MS, delay);
    }
}
