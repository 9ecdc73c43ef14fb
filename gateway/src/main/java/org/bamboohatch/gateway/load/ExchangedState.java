package org.bamboohatch.gateway.load;

import org.bamboohatch.gateway.GatewaySettings;
import org.bamboohatch.gateway.target.ColdTargets;
import org.bamboohatch.gateway.target.LeavingTargets;
import org.bamboohatch.gateway.target.TargetLimits;
import org.bamboohatch.gateway.target.TargetPauses;
import org.bamboohatch.gateway.target.TargetRamps;
import org.bamboohatch.routing.quarantine.RequestQuarantine;

/**
 * State of targets that the gateways exchange. Confined to the callers' event loop.
 *
 * @param loadTracker load of the targets
 * @param leavingTargets the targets that are about to end
 * @param pauses the pauses that targets have asked for
 * @param limits the limits that targets have named
 * @param quarantine the traits of requests that end targets
 * @param coldTargets the cold times of targets
 * @param ramps the limits on the concurrent requests of targets that have started
 * @param waitingWork the requests that wait at gateways
 */
public record ExchangedState(
        LoadTracker loadTracker,
        LeavingTargets leavingTargets,
        TargetPauses pauses,
        TargetLimits limits,
        RequestQuarantine quarantine,
        ColdTargets coldTargets,
        TargetRamps ramps,
        WaitingWork waitingWork) {

    /**
     * Creates a state without targets that are cold and without waiting requests.
     *
     * @param loadTracker load of the targets
     * @param leavingTargets the targets that are about to end
     * @param pauses the pauses that targets have asked for
     * @param limits the limits that targets have named
     * @param quarantine the traits of requests that end targets
     */
    public ExchangedState(
            LoadTracker loadTracker,
            LeavingTargets leavingTargets,
            TargetPauses pauses,
            TargetLimits limits,
            RequestQuarantine quarantine) {
        this(
                loadTracker,
                leavingTargets,
                pauses,
                limits,
                quarantine,
                new ColdTargets(limits, ColdTargets.Observer.Disabled.INSTANCE),
                new TargetRamps(TargetRamps.Observer.Disabled.INSTANCE),
                new WaitingWork(""));
    }

    /**
     * Creates the state of a gateway that has not heard of any target.
     *
     * @param settings settings of the gateway
     * @return the empty state
     */
    public static ExchangedState empty(GatewaySettings settings) {
        TargetLimits limits = new TargetLimits(settings.host());
        WarmUpLog log = new WarmUpLog();
        return new ExchangedState(
                new LoadTracker(),
                new LeavingTargets(),
                new TargetPauses(),
                limits,
                new RequestQuarantine(settings.promptQuarantineMillis(), new QuarantineLog()),
                new ColdTargets(limits, log),
                new TargetRamps(log),
                new WaitingWork(settings.host().value()));
    }
}
