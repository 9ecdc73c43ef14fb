package org.bamboohatch.gateway.load;

import java.util.List;

import org.bamboohatch.kernel.id.RequestTrait;
import org.bamboohatch.kernel.log.DecisionLog;
import org.bamboohatch.kernel.log.DecisionLog.Category;
import org.bamboohatch.routing.quarantine.RequestQuarantine;
import org.bamboohatch.routing.quarantine.TargetCrash;

/** Writes to the decision log what comes into quarantine and what leaves it. */
final class QuarantineLog implements RequestQuarantine.Observer {

    /** Number of targets that a line names. */
    private static final int MAX_LOGGED_TARGETS = 8;

    private final DecisionLog log = new DecisionLog("quarantine");

    @Override
    public void onQuarantined(RequestTrait trait, List<TargetCrash> crashes) {
        log.line(Category.STATE_CHANGE, "quarantined")
                .with(field(trait), trait)
                .with("crashes", crashes.size())
                .with(
                        "engines",
                        crashes.stream()
                                .limit(MAX_LOGGED_TARGETS)
                                .map(crash -> crash.incarnation().target())
                                .toList())
                .write();
    }

    @Override
    public void onReleased(RequestTrait trait) {
        log.line(Category.STATE_CHANGE, "released").with(field(trait), trait).write();
    }

    private static String field(RequestTrait trait) {
        return trait.isContent() ? "fingerprint" : "promptPart";
    }
}
