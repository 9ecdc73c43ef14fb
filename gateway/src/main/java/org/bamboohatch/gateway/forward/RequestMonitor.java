package org.bamboohatch.gateway.forward;

import java.util.List;
import java.util.Optional;

import org.bamboohatch.gateway.target.TargetAddress;
import org.bamboohatch.kernel.id.RequestTrait;
import org.bamboohatch.routing.quarantine.RequestQuarantine;

/** Reports what the prompt of one request does to engines, and tells whether it may still be sent to any. */
final class RequestMonitor {

    private final RequestQuarantine quarantine;

    private final TargetCatalog targets;

    private final List<RequestTrait> promptParts;

    /**
     * Creates a monitor of one prompt.
     *
     * @param quarantine the prompt parts that end engines
     * @param targets the known targets
     * @param promptParts parts of the prompt that other requests may have in common with this one
     */
    RequestMonitor(RequestQuarantine quarantine, TargetCatalog targets, List<RequestTrait> promptParts) {
        this.quarantine = quarantine;
        this.targets = targets;
        this.promptParts = promptParts;
    }

    /**
     * Returns a part that keeps the request from all targets.
     *
     * @param now current time, in milliseconds
     * @return the part, empty if the request may be sent
     */
    Optional<RequestQuarantine.Entry> findQuarantined(long now) {
        return quarantine.find(promptParts, now);
    }

    void recordActivity(TargetAddress target, long now) {
        quarantine.recordActivity(target.toIncarnation(), now);
    }

    void recordGeneration(long now) {
        quarantine.recordGeneration(promptParts, now);
    }

    /**
     * Records that a target ended the connection under this request. A target that leaves ends its connections as well.
     *
     * @param target the target
     * @param now current time, in milliseconds
     */
    void recordCrash(TargetAddress target, long now) {
        if (!targets.isLeaving(target)) {
            quarantine.recordCrash(target.toIncarnation(), promptParts, now);
        }
    }
}
