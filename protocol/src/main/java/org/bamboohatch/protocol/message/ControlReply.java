package org.bamboohatch.protocol.message;

import java.util.List;

import org.bamboohatch.kernel.event.Event;
import org.bamboohatch.kernel.id.ServiceName;
import org.bamboohatch.kernel.id.TargetName;
import org.bamboohatch.kernel.id.ZoneName;

/** Replies of a control process. */
public sealed interface ControlReply extends Message {

    /**
     * Rejects a request because this replica is not the leader.
     *
     * @param leaderAddress address of the leader, host and port, or an empty string if it is unknown
     */
    record NotLeader(String leaderAddress) implements ControlReply {}

    /**
     * Reports that no decision on a request is known; the request may still take effect.
     *
     * @param sentence why there is no decision
     */
    record Undecided(String sentence) implements ControlReply {}

    /**
     * Confirms that a change of a service document is committed.
     *
     * @param revision the revision of the document that the change created
     */
    record Applied(long revision) implements ControlReply {}

    /**
     * Rejects a change because another change was committed since its base revision.
     *
     * @param revision the current revision of the document
     * @param changeId identifier of the change that created this revision
     */
    record Conflict(long revision, String changeId) implements ControlReply {}

    /**
     * Rejects a document that has errors.
     *
     * @param errors all errors of the document, one line each
     */
    record Invalid(List<String> errors) implements ControlReply {}

    /**
     * Reports whether a revision is in force, which it is if no availability zone is pending.
     *
     * @param revision the configuration revision
     * @param pendingZones the availability zones that have not confirmed the revision
     */
    record InForce(long revision, List<ZoneName> pendingZones) implements ControlReply {}

    /**
     * Contains revisions of a service document.
     *
     * @param versions the requested revisions, empty if there are none
     */
    record Documents(List<DocumentVersion> versions) implements ControlReply {}

    /** States of a run in the ledger, or reasons for which a claim is not granted. */
    enum RunState {
        /** The claim is granted; its owner may run the request. */
        GRANTED,
        /** Another claim has begun the run; its end is not known yet. */
        BEGUN,
        /** The run has finished. */
        FINISHED,
        /** The attempt is abandoned and will never run. */
        ABANDONED,
        /** The idempotency key was used with another request body. */
        BODY_DIFFERS,
        /** The attempt is older than the time for which the ledger guarantees to keep records. */
        EXPIRED,
        /** The ledger has reached its maximum number of records. */
        FULL,
        /** The ledger has no record of the idempotency key. */
        ABSENT
    }

    /**
     * Reports the state of a run in the ledger.
     *
     * @param state state of the run, or the reason for which a claim is not granted
     * @param answer the recorded answer if the run has finished, otherwise {@code null}
     */
    record Run(RunState state, RecordedAnswer answer) implements ControlReply {}

    /**
     * Confirms that the lease of a target was renewed.
     *
     * @param revision the latest configuration revision
     * @param document the document of the target's service if the agent's copy is older, otherwise {@code null}
     * @param fence fencing token of the placement orders, larger for later leaders
     * @param orders the models that the engine is to load and unload; an order is repeated in each reply until it is
     *     carried out
     */
    record Announced(long revision, DocumentVersion document, long fence, List<PlacementOrder> orders)
            implements ControlReply {}

    /** Actions that an engine can be ordered to perform on a model. */
    enum PlacementAction {
        /** Load the model into the engine. */
        LOAD,
        /** Unload the model from the engine. */
        UNLOAD
    }

    /**
     * Orders an engine to load or unload a model.
     *
     * @param action the action to perform
     * @param model the model and its version
     */
    record PlacementOrder(PlacementAction action, LoadedModel model) {}

    /**
     * Contains all changes since the previous poll of a subscriber.
     *
     * @param revision the latest configuration revision
     * @param documents service documents that changed
     * @param epoch epoch of the target membership; if it differs from the subscriber's, {@code joined} is the complete
     *     membership
     * @param version version of the target membership within its epoch
     * @param joined targets that joined or changed
     * @param departed targets that left or whose lease expired
     * @param ledgerTime current ledger time, in milliseconds
     * @param entries number of entries that admit requests
     * @param fleet the fleet configuration if the subscriber's copy is older, otherwise {@code null}
     * @param gateways addresses at which the gateways receive load reports
     * @param controls addresses of the control processes
     * @param whole whether {@code joined} is the complete membership although the epoch is the subscriber's, because
     *     departures that the subscriber missed are no longer known; missing in replies of older control processes
     * @param evacuated all evacuated zones, also while the registry of a new leader is incomplete; {@code null} in
     *     replies of older control processes, which leaves the subscriber's copy as it is
     * @param crashes evidence against requests that end targets, for a gateway that has no configuration yet; {@code null}
     *     for others and in replies of older control processes
     */
    record Changes(
            long revision,
            List<DocumentVersion> documents,
            long epoch,
            long version,
            List<TargetAnnouncement> joined,
            List<TargetName> departed,
            long ledgerTime,
            int entries,
            FleetText fleet,
            List<String> gateways,
            List<String> controls,
            boolean whole,
            EvacuatedZones evacuated,
            CrashEvidence crashes)
            implements ControlReply {

        /**
         * Creates a reply without the evacuated zones, as that of an older control process.
         *
         * @param revision the latest configuration revision
         * @param documents service documents that changed
         * @param epoch epoch of the target membership
         * @param version version of the target membership within its epoch
         * @param joined targets that joined or changed
         * @param departed targets that left or whose lease expired
         * @param ledgerTime current ledger time, in milliseconds
         * @param entries number of entries that admit requests
         * @param fleet the fleet configuration if the subscriber's copy is older, otherwise {@code null}
         * @param gateways addresses at which the gateways receive load reports
         * @param controls addresses of the control processes
         * @param whole whether {@code joined} is the complete membership although the epoch is the subscriber's
         */
        public Changes(
                long revision,
                List<DocumentVersion> documents,
                long epoch,
                long version,
                List<TargetAnnouncement> joined,
                List<TargetName> departed,
                long ledgerTime,
                int entries,
                FleetText fleet,
                List<String> gateways,
                List<String> controls,
                boolean whole) {
            this(
                    revision,
                    documents,
                    epoch,
                    version,
                    joined,
                    departed,
                    ledgerTime,
                    entries,
                    fleet,
                    gateways,
                    controls,
                    whole,
                    null,
                    null);
        }
    }

    /**
     * Confirms that an order to evacuate a zone, or to end its evacuation, is committed.
     *
     * @param evacuated the evacuated zones that are in effect after the order
     */
    record EvacuationChanged(EvacuatedZones evacuated) implements ControlReply {}

    /** Confirms that evidence against requests that end targets is recorded. */
    record CrashesRecorded() implements ControlReply {}

    /**
     * Contains a ticket for an order.
     *
     * @param ticket the ticket
     */
    record OrderOpened(OrderTicket ticket) implements ControlReply {}

    /** Reports that the ticket of an order is not valid any more, so that the order was not carried out. */
    record OrderExpired() implements ControlReply {}

    /**
     * Reports the outcome of a proposal of a fleet configuration.
     *
     * @param version the version that is now in effect; if it is higher than the proposed version, the proposal was
     *     superseded
     */
    record FleetReplaced(long version) implements ControlReply {}

    /**
     * Confirms the registration or deregistration of a target.
     *
     * @param leader address of the leader, host and port
     */
    record Registered(String leader) implements ControlReply {}

    /**
     * Contains the current fleet configuration.
     *
     * @param fleet the configuration, or {@code null} if there is none
     */
    record Fleet(FleetText fleet) implements ControlReply {}

    /**
     * Describes the state of one replica.
     *
     * @param replica identity of the replica
     * @param host name of the host that the replica runs on
     * @param role role of the replica in its replication group
     * @param term current term of the replica
     * @param commitIndex the highest log index that the replica knows to be committed
     * @param appliedIndex the highest log index that the replica has applied
     * @param voters hosts of the voting replicas
     * @param learners hosts of the replicas that catch up without a vote
     * @param services the services with the revisions of their documents
     * @param targets the targets with a lease
     * @param runs number of records in the ledger
     * @param pendingZones availability zones that have not confirmed the latest revision
     * @param evacuated the evacuated zones that the replica knows; {@code null} in replies of older control processes
     */
    record Status(
            String replica,
            String host,
            String role,
            long term,
            long commitIndex,
            long appliedIndex,
            List<String> voters,
            List<String> learners,
            List<ServiceRevision> services,
            List<TargetAnnouncement> targets,
            int runs,
            List<ZoneName> pendingZones,
            EvacuatedZones evacuated)
            implements ControlReply {}

    /**
     * A service and the revision of its document.
     *
     * @param service name of the service
     * @param revision the latest revision of its document
     */
    record ServiceRevision(ServiceName service, long revision) {}

    /**
     * Contains events of a process's timeline.
     *
     * @param events the events that match the request
     * @param lost number of events that the timeline has overwritten
     */
    record Events(List<Event> events, long lost) implements ControlReply {}
}
