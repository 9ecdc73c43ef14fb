package org.bamboohatch.gateway.load;

import org.bamboohatch.gateway.GatewaySettings;
import org.bamboohatch.gateway.target.LeavingTargets;
import org.bamboohatch.gateway.target.TargetLimits;
import org.bamboohatch.gateway.target.TargetPauses;
import org.bamboohatch.routing.quarantine.RequestQuarantine;

/**
 * State of targets that the gateways exchange. Confined to the callers' event loop.
 *
 * @param loadTracker load of the targets
 * @param leavingTargets the targets that are about to end
 * @param pauses the pauses that targets have asked for
 * @param limits the limits that targets have named
 * @param quarantine the traits of requests that end targets
 * @param waitingWork the requests that wait at gateways
 */
public record ExchangedState(
        LoadTracker loadTracker,
        LeavingTargets leavingTargets,
        TargetPauses pauses,
        TargetLimits limits,
        RequestQuarantine quarantine,
        WaitingWork waitingWork) {

    /**
     * Creates the state of a gateway that has not heard of any target.
     *
     * @param settings settings of the gateway
     * @return the empty state
     */
    public static ExchangedState empty(GatewaySettings settings) {
        return new ExchangedState(
                new LoadTracker(),
                new LeavingTargets(),
                new TargetPauses(),
                new TargetLimits(settings.host()),
                new RequestQuarantine(settings.promptQuarantineMillis(), new QuarantineLog()),
                new WaitingWork());
    }
}
