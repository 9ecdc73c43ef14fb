package org.bamboohatch.protocol.message;

import org.bamboohatch.kernel.id.AttemptId;
import org.bamboohatch.kernel.id.HostName;
import org.bamboohatch.kernel.id.RunKey;
import org.bamboohatch.kernel.id.ServiceName;
import org.bamboohatch.kernel.id.TargetName;
import org.bamboohatch.kernel.id.ZoneName;

/** Requests to a control process, each with a single reply. */
public sealed interface ControlRequest extends Message {

    /**
     * Requests a change of a service document.
     *
     * @param changeId identifier of the change; a request that is repeated with the same identifier gets the result of
     *     the first one
     * @param service name of the service
     * @param baseRevision revision that the change is based on, or zero for a new service
     * @param text the new source of the document, in YAML
     */
    record ApplyDocument(String changeId, ServiceName service, long baseRevision, String text)
            implements ControlRequest {}

    /**
     * Asks whether a revision is in force in every availability zone. The reply is delayed for up to half a second while
     * it is not.
     *
     * @param revision the configuration revision
     */
    record AwaitInForce(long revision) implements ControlRequest {}

    /**
     * Requests revisions of a service document.
     *
     * @param service name of the service
     * @param revision the requested revision, or zero for all that are retained
     */
    record GetDocument(ServiceName service, long revision) implements ControlRequest {}

    /**
     * Claims the right to run a non-idempotent request.
     *
     * @param key client account and idempotency key of the request
     * @param attempt identifier of the attempt
     * @param nonce random value that the agent generates for the claim; a repeated request contains the same nonce
     * @param bodyHash hash of the request
     * @param attemptTime ledger time at which the attempt was made, in milliseconds
     */
    record BeginRun(RunKey key, AttemptId attempt, String nonce, String bodyHash, long attemptTime)
            implements ControlRequest {}

    /**
     * Ensures that an attempt will never run, unless its run has begun.
     *
     * @param key client account and idempotency key of the request
     * @param attempt identifier of the attempt
     * @param nonce nonce of the claim if the agent that owns it releases it without having run the request, otherwise
     *     {@code null}
     * @param attemptTime ledger time at which the attempt was made, in milliseconds
     */
    record AbandonRun(RunKey key, AttemptId attempt, String nonce, long attemptTime) implements ControlRequest {}

    /**
     * Records the answer of a finished run.
     *
     * @param key client account and idempotency key of the request
     * @param attempt identifier of the attempt that ran
     * @param nonce nonce of the claim
     * @param answer the answer to record
     */
    record FinishRun(RunKey key, AttemptId attempt, String nonce, RecordedAnswer answer) implements ControlRequest {}

    /**
     * Requests the state of a run.
     *
     * @param key client account and idempotency key of the request
     */
    record LookupRun(RunKey key) implements ControlRequest {}

    /**
     * Renews the lease of a target.
     *
     * @param announcement the current state of the target
     * @param appliedRevision the configuration revision that the agent has applied
     */
    record Announce(TargetAnnouncement announcement, long appliedRevision) implements ControlRequest {}

    /**
     * Requests all changes since the previous poll of a subscriber.
     *
     * @param holder host of the subscriber
     * @param zone availability zone of the subscriber
     * @param appliedRevision the configuration revision that the subscriber has applied
     * @param epoch epoch of the subscriber's copy of the target membership
     * @param version version of the subscriber's copy of the target membership
     * @param fleetVersion version of the fleet configuration that the subscriber has applied; {@link #NO_FLEET} before the
     *     first one, the highest number if it uses none
     * @param exchangeAddress address at which the subscriber receives load reports of other gateways, or an empty
     *     string for none
     * @param urgent whether the subscriber needs to prove that its copy is fresh, so that the reply is not delayed until
     *     there are changes
     * @param evacuationVersion version of the evacuated zones that the subscriber has applied; {@code null} if it uses
     *     none, as in polls of earlier versions
     */
    record Poll(
            HostName holder,
            ZoneName zone,
            long appliedRevision,
            long epoch,
            long version,
            long fleetVersion,
            String exchangeAddress,
            boolean urgent,
            Long evacuationVersion)
            implements ControlRequest {

        /** Version of the fleet configuration of a subscriber that has not received any yet. */
        public static final long NO_FLEET = Long.MIN_VALUE;

        /**
         * Creates the poll of a subscriber that does not use the evacuated zones.
         *
         * @param holder host of the subscriber
         * @param zone availability zone of the subscriber
         * @param appliedRevision the configuration revision that the subscriber has applied
         * @param epoch epoch of the subscriber's copy of the target membership
         * @param version version of the subscriber's copy of the target membership
         * @param fleetVersion version of the fleet configuration that the subscriber has applied
         * @param exchangeAddress address at which the subscriber receives load reports of other gateways, or an empty
         *     string for none
         * @param urgent whether the reply is not delayed until there are changes
         */
        public Poll(
                HostName holder,
                ZoneName zone,
                long appliedRevision,
                long epoch,
                long version,
                long fleetVersion,
                String exchangeAddress,
                boolean urgent) {
            this(holder, zone, appliedRevision, epoch, version, fleetVersion, exchangeAddress, urgent, null);
        }

        /**
         * Creates the poll of a subscriber that uses neither the fleet configuration nor load reports.
         *
         * @param holder host of the subscriber
         * @param zone availability zone of the subscriber
         * @param appliedRevision the configuration revision that the subscriber has applied
         * @param epoch epoch of the subscriber's copy of the target membership
         * @param version version of the subscriber's copy of the target membership
         */
        public Poll(HostName holder, ZoneName zone, long appliedRevision, long epoch, long version) {
            this(holder, zone, appliedRevision, epoch, version, Long.MAX_VALUE, "", false);
        }
    }

    /**
     * Replaces the fleet configuration if the new version is higher than the current one.
     *
     * @param fleet the new fleet configuration
     */
    record ReplaceFleet(FleetText fleet) implements ControlRequest {}

    /**
     * Registers a target that gateways call directly.
     *
     * @param announcement the current state of the target
     */
    record Register(TargetAnnouncement announcement) implements ControlRequest {}

    /**
     * Removes a target that gateways call directly. Only a later start of the target can register again.
     *
     * @param target name of the target
     * @param wallTime wall-clock time at which the operator's call was received, in Unix milliseconds; used if the start
     *     of the target is unknown
     * @param ticket shows how long the request has been under way; {@code null} in requests of older processes, which are
     *     carried out at any age
     */
    record Deregister(TargetName target, long wallTime, OrderTicket ticket) implements ControlRequest {}

    /**
     * Evacuates an availability zone, so that gateways send nothing new to its targets, or ends the evacuation. A
     * repeated order changes nothing.
     *
     * @param zone the zone
     * @param evacuated whether the zone is to be evacuated, false to end its evacuation
     * @param wallTime wall-clock time at which the operator's call was received, in Unix milliseconds; a lower bound of
     *     the version of the set that the order creates
     * @param ticket shows how long the order has been under way; {@code null} in orders of the command line and of older
     *     processes, which are carried out at any age
     */
    record ChangeEvacuation(ZoneName zone, boolean evacuated, long wallTime, OrderTicket ticket)
            implements ControlRequest {

        /**
         * Creates an order that is carried out at any age.
         *
         * @param zone the zone
         * @param evacuated whether the zone is to be evacuated, false to end its evacuation
         * @param wallTime wall-clock time at which the order was given, in Unix milliseconds
         */
        public ChangeEvacuation(ZoneName zone, boolean evacuated, long wallTime) {
            this(zone, evacuated, wallTime, null);
        }
    }

    /**
     * Records evidence against requests that end targets, so that it outlasts the gateways that have observed it. Recorded
     * evidence is combined, so that the requests of several gateways may come in any order and more than once.
     *
     * @param evidence the evidence of a gateway
     */
    record RecordCrashes(CrashEvidence evidence) implements ControlRequest {}

    /** Requests a ticket for an order, from the leader. */
    record OpenOrder() implements ControlRequest {}

    /** Requests the current fleet configuration. */
    record GetFleet() implements ControlRequest {}

    /** Requests the state of the replica that receives the request, whether it leads or not. */
    record GetStatus() implements ControlRequest {}

    /**
     * Requests the timeline events that a process retains.
     *
     * @param subject subject of the events, or an empty string for all subjects
     */
    record GetEvents(String subject) implements ControlRequest {}
}
