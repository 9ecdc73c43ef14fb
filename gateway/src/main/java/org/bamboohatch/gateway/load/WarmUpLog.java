package org.bamboohatch.gateway.load;

import org.bamboohatch.gateway.target.ColdTargets;
import org.bamboohatch.gateway.target.TargetRamps;
import org.bamboohatch.kernel.id.TargetIncarnation;
import org.bamboohatch.kernel.log.DecisionLog;
import org.bamboohatch.kernel.log.DecisionLog.Category;

/** Writes to the decision log which targets are limited because they started or recovered. */
final class WarmUpLog implements ColdTargets.Observer, TargetRamps.Observer {

    private final DecisionLog log = new DecisionLog("target");

    @Override
    public void onCold(TargetIncarnation target, long leftMillis, double perSecond) {
        log.line(Category.STATE_CHANGE, "cold")
                .with("target", target.target())
                .with("incarnation", target.number())
                .with("leftMs", leftMillis)
                .with("perSecond", perSecond)
                .write();
    }

    @Override
    public void onWarm(TargetIncarnation target, long now) {
        log.line(Category.STATE_CHANGE, "warm")
                .with("target", target.target())
                .with("incarnation", target.number())
                .write();
    }

    @Override
    public void onBegin(TargetIncarnation target, int limit) {
        log.line(Category.STATE_CHANGE, "ramp-begin")
                .with("target", target.target())
                .with("incarnation", target.number())
                .with("limit", limit)
                .write();
    }

    @Override
    public void onEnd(TargetIncarnation target, int limit, long tookMillis) {
        log.line(Category.STATE_CHANGE, "ramp-end")
                .with("target", target.target())
                .with("incarnation", target.number())
                .with("limit", limit)
                .with("tookMs", tookMillis)
                .write();
    }
}
