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
}
