package org.bamboohatch.gateway.forward;

import java.time.Duration;
import java.util.List;
import java.util.Optional;

import org.bamboohatch.gateway.target.TargetAddress;
import org.bamboohatch.kernel.id.RequestTrait;
import org.bamboohatch.kernel.outcome.ErrorCode;
import org.bamboohatch.kernel.outcome.Refusal;
import org.bamboohatch.routing.quarantine.RequestQuarantine;

/** Reports what one request does to targets, and tells whether it may still be sent to any. */
final class RequestMonitor {

    private final RequestQuarantine quarantine;

    private final TargetCatalog targets;

    private final List<RequestTrait> traits;

    /** Whether the current attempt may be sent in spite of the quarantine. */
    private boolean trial;

    /**
     * Creates a monitor of one request.
     *
     * @param quarantine the traits of requests that end targets
     * @param targets the known targets
     * @param traits what the request may have in common with others
     */
    RequestMonitor(RequestQuarantine quarantine, TargetCatalog targets, List<RequestTrait> traits) {
        this.quarantine = quarantine;
        this.targets = targets;
        this.traits = traits;
    }

    /**
     * Decides whether an attempt may begin.
     *
     * @param now current time, in milliseconds
     * @return what keeps the request from all targets, empty if the attempt may begin
     */
    Optional<RequestQuarantine.Entry> admit(long now) {
        targets.applyArrivedReports();
        Optional<RequestQuarantine.Entry> quarantined = quarantine.find(traits, now);
        trial = quarantined.isPresent()
                && quarantine.beginTrial(quarantined.get().trait(), now);
        return trial ? Optional.empty() : quarantined;
    }

    /**
     * Describes why a request is kept from all targets.
     *
     * @param entry what keeps it from them
     * @return the reason, for the caller and the decision log
     */
    static String reason(RequestQuarantine.Entry entry) {
        return entry.trait().isContent()
                ? "the same request has ended targets"
                : "part " + entry.trait() + " of the prompt has ended engines";
    }

    /**
     * Creates the response to a request that is kept from all targets.
     *
     * @param entry what keeps it from them
     * @param now current time, in milliseconds
     * @return the refusal, with the remaining time of the quarantine
     */
    static Refusal refusal(RequestQuarantine.Entry entry, long now) {
        ErrorCode code = entry.trait().isContent() ? ErrorCode.REQUEST_QUARANTINED : ErrorCode.PROMPT_QUARANTINED;
        return Refusal.notRun(code, "No target gets the request: " + reason(entry) + ".")
                .withRetryAfter(Duration.ofMillis(entry.until() - now));
    }

    /**
     * Indicates whether the attempt that has begun may still be sent.
     *
     * @param now current time, in milliseconds
     * @return whether nothing was found meanwhile that keeps the request from all targets
     */
    boolean isAdmitted(long now) {
        return trial || quarantine.find(traits, now).isEmpty();
    }

    void recordActivity(TargetAddress target, long now) {
        quarantine.recordActivity(target.toIncarnation(), now);
    }

    void recordGeneration(long now) {
        quarantine.recordGeneration(traits, now);
    }

    /**
     * Records that a target ended the connection under this request. A target that leaves ends its connections as well.
     *
     * @param target the target
     * @param now current time, in milliseconds
     */
    void recordCrash(TargetAddress target, long now) {
        targets.applyArrivedReports();
        if (!targets.isLeaving(target)) {
            quarantine.recordCrash(target.toIncarnation(), traits, now);
        }
    }
}
