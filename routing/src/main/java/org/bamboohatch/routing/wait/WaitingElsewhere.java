package org.bamboohatch.routing.wait;

import java.util.List;
import java.util.Map;

import org.bamboohatch.kernel.id.AccountName;

/**
 * What waits at other gateways for the engines of a service. The gateways learn of each other's dispatches late, so those
 * that decide at the same moment would all use the same free engines. Each therefore leaves engines to the gateways whose
 * next request is more urgent than its own.
 *
 * @param reports one entry for each gateway with waiting requests and priority
 * @param served tokens that were served to each client account recently, over all gateways
 * @param slotShare the engines whose free slots this gateway may use for strict requests
 */
public record WaitingElsewhere(List<Report> reports, Map<AccountName, Double> served, SlotShare slotShare) {

    /** Nothing waits at other gateways, as far as it is known. */
    public static final WaitingElsewhere NONE = new WaitingElsewhere(List.of(), Map.of(), SlotShare.WHOLE);

    /** Share of another gateway's waiting work that is expected to precede a request of the same priority. */
    private static final double SAME_PRIORITY_SHARE = 0.5;

    /**
     * Waiting requests of one priority at another gateway.
     *
     * @param priority their priority
     * @param prefillMillis time that one engine would need for the prompts of the relaxed ones, in milliseconds
     * @param strictRequests number of strict requests
     * @param relaxedLatestStart latest time at which the next relaxed one is sent so that it is in time, in milliseconds;
     *     infinite if no relaxed request waits
     */
    public record Report(int priority, double prefillMillis, int strictRequests, double relaxedLatestStart) {

        /** Adds a request of the same priority that is sent later. */
        Report plus(Report later) {
            return new Report(
                    priority,
                    prefillMillis + later.prefillMillis,
                    strictRequests + later.strictRequests,
                    Double.isInfinite(relaxedLatestStart) ? later.relaxedLatestStart : relaxedLatestStart);
        }
    }

    /**
     * Creates a state in which this gateway may use all free slots.
     *
     * @param reports one entry for each gateway with waiting requests and priority
     * @param served tokens that were served to each client account recently, over all gateways
     */
    public WaitingElsewhere(List<Report> reports, Map<AccountName, Double> served) {
        this(reports, served, SlotShare.WHOLE);
    }

    /** Copies the list and the map to keep the record immutable. */
    public WaitingElsewhere {
        reports = List.copyOf(reports);
        served = Map.copyOf(served);
    }

    /**
     * Returns the work that is expected to be sent before a request.
     *
     * @param priority priority of the request
     * @return the work at other gateways
     */
    WorkAhead ahead(int priority) {
        double prefillMillis = 0;
        double strictRequests = 0;
        for (Report report : reports) {
            if (report.priority() <= priority) {
                double share = report.priority() < priority ? 1 : SAME_PRIORITY_SHARE;
                prefillMillis += share * report.prefillMillis();
                strictRequests += share * report.strictRequests();
            }
        }
        return new WorkAhead(prefillMillis, (int) strictRequests);
    }

    /**
     * Returns the number of gateways whose next relaxed request precedes one of this gateway.
     *
     * @param priority priority of the request
     * @param latestStart latest time at which it is sent so that it is in time, in milliseconds
     * @param now current time, in milliseconds
     * @return zero if the request is the most urgent one
     */
    int precedingGateways(int priority, double latestStart, long now) {
        int preceding = 0;
        for (Report report : reports) {
            if (report.relaxedLatestStart() < Double.POSITIVE_INFINITY
                    && precedes(report.priority(), report.relaxedLatestStart(), priority, latestStart, now)) {
                preceding++;
            }
        }
        return preceding;
    }

    /**
     * Returns the rank of a request's account: accounts that were served less come first. Those whose tokens differ by
     * less than a factor of two may rank equal, as the reports are up to a second old.
     *
     * @param request the request
     * @return the rank, zero if nothing was served to the account or it is unknown
     */
    int accountRank(QueuedGeneration request) {
        double tokens = request.account()
                .map(account -> served.getOrDefault(account, 0.0))
                .orElse(0.0);
        return tokens <= 1 ? 0 : Math.getExponent(tokens);
    }

    private static boolean precedes(
            int priority, double latestStart, int ownPriority, double ownLatestStart, long now) {
        if (priority != ownPriority) {
            return priority < ownPriority;
        }
        boolean late = latestStart < now;
        boolean ownLate = ownLatestStart < now;
        return late == ownLate ? latestStart < ownLatestStart : ownLate;
    }
}
