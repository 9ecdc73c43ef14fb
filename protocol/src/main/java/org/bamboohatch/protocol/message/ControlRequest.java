package org.bamboohatch.protocol.message;

import org.bamboohatch.kernel.id.AttemptId;
import org.bamboohatch.kernel.id.HostName;
import org.bamboohatch.kernel.id.RunKey;
import org.bamboohatch.kernel.id.ServiceName;
import org.bamboohatch.kernel.id.TargetName;
import org.bamboohatch.kernel.id.ZoneName;

/** Requests to the control program; each has one reply. */
public sealed interface ControlRequest extends Message {

    /**
     * Changes a service document.
     *
     * @param changeId names the change; a resend with the same id gets the first answer
     * @param service the service
     * @param baseRevision the revision that the change was made from, zero for a new service
     * @param text the YAML text
     */
    record ApplyDocument(String changeId, ServiceName service, long baseRevision, String text)
            implements ControlRequest {}

    /**
     * Asks whether a revision is in force in every availability zone.
     *
     * @param revision the revision
     */
    record AwaitInForce(long revision) implements ControlRequest {}

    /**
     * Asks for a service document.
     *
     * @param service the service
     * @param revision the revision, zero for the latest
     */
    record GetDocument(ServiceName service, long revision) implements ControlRequest {}

    /**
     * Claims the right to run a non-idempotent request.
     *
     * @param key the idempotency key within its account
     * @param attempt the attempt
     * @param nonce drawn by the agent for this claim; a resend of the claim carries the same
     * @param bodyHash hash of the request
     * @param attemptTime ledger time at which the attempt was made, in milliseconds
     */
    record BeginRun(RunKey key, AttemptId attempt, String nonce, String bodyHash, long attemptTime)
            implements ControlRequest {}

    /**
     * Makes sure that an attempt never runs, unless it has begun.
     *
     * @param key the idempotency key within its account
     * @param attempt the attempt
     * @param nonce the nonce of the claim if its own agent gives it back without having run it, else null
     * @param attemptTime ledger time at which the attempt was made, in milliseconds
     */
    record AbandonRun(RunKey key, AttemptId attempt, String nonce, long attemptTime) implements ControlRequest {}

    /**
     * Records the answer of a run.
     *
     * @param key the idempotency key within its account
     * @param attempt the attempt that ran
     * @param nonce the nonce of the claim
     * @param answer the answer
     */
    record FinishRun(RunKey key, AttemptId attempt, String nonce, RecordedAnswer answer) implements ControlRequest {}

    /**
     * Asks for the state of a run.
     *
     * @param key the idempotency key within its account
     */
    record LookupRun(RunKey key) implements ControlRequest {}

    /**
     * Renews the lease of a target.
     *
     * @param announcement the target
     * @param appliedRevision the configuration revision that the agent applies
     */
    record Announce(TargetAnnouncement announcement, long appliedRevision) implements ControlRequest {}

    /**
     * Asks for everything that changed since the last poll.
     *
     * @param holder host of the process that polls
     * @param zone its availability zone
     * @param appliedRevision the configuration revision that it applies
     * @param epoch the epoch of its copy of the membership
     * @param version the version of its copy of the membership
     * @param fleetVersion the version of the fleet configuration that it applies
     * @param exchangeAddress address at which the holder takes the load reports of other gateways, empty for none
     * @param urgent whether the holder must show that its copy is fresh, so that the answer is not held for news
     */
    record Poll(
            HostName holder,
            ZoneName zone,
            long appliedRevision,
            long epoch,
            long version,
            long fleetVersion,
            String exchangeAddress,
            boolean urgent)
            implements ControlRequest {

        /**
         * Creates the poll of a holder that uses neither the fleet configuration nor load reports.
         *
         * @param holder host of the process that polls
         * @param zone its availability zone
         * @param appliedRevision the configuration revision that it applies
         * @param epoch the epoch of its copy of the membership
         * @param version the version of its copy of the membership
         */
        public Poll(HostName holder, ZoneName zone, long appliedRevision, long epoch, long version) {
            this(holder, zone, appliedRevision, epoch, version, Long.MAX_VALUE, "", false);
        }
    }

    /**
     * Replaces the fleet configuration if the version is higher than the one held.
     *
     * @param fleet the new configuration
     */
    record ReplaceFleet(FleetText fleet) implements ControlRequest {}

    /**
     * Announces a target that gateways call directly.
     *
     * @param announcement the target
     */
    record Register(TargetAnnouncement announcement) implements ControlRequest {}

    /**
     * Announces that a target is gone.
     *
     * @param target the target
     * @param wallTime time of day at the receiver, in Unix milliseconds; earlier starts of the target never return
     */
    record Deregister(TargetName target, long wallTime) implements ControlRequest {}

    /** Asks for the fleet configuration. */
    record GetFleet() implements ControlRequest {}

    /** Asks a replica for its own state. */
    record GetStatus() implements ControlRequest {}

    /**
     * Asks a process for the events that it keeps.
     *
     * @param subject the subject, or an empty text for every subject
     */
    record GetEvents(String subject) implements ControlRequest {}
}
