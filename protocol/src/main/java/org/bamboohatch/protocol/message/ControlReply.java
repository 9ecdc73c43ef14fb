package org.bamboohatch.protocol.message;

import java.util.List;

import org.bamboohatch.kernel.event.Event;
import org.bamboohatch.kernel.id.ServiceName;
import org.bamboohatch.kernel.id.TargetName;
import org.bamboohatch.kernel.id.ZoneName;

/** Replies of the control program. */
public sealed interface ControlReply extends Message {

    /**
     * This replica does not lead.
     *
     * @param leaderAddress address of the leader, or an empty text if it is not known
     */
    record NotLeader(String leaderAddress) implements ControlReply {}

    /**
     * The request could not be decided in time; it may still take effect.
     *
     * @param sentence the reason
     */
    record Undecided(String sentence) implements ControlReply {}

    /**
     * The change is committed.
     *
     * @param revision the revision of the document
     */
    record Applied(long revision) implements ControlReply {}

    /**
     * Another change came first.
     *
     * @param revision the revision of the document now
     * @param changeId the change that made it
     */
    record Conflict(long revision, String changeId) implements ControlReply {}

    /**
     * The document has errors.
     *
     * @param errors every error, one line each
     */
    record Invalid(List<String> errors) implements ControlReply {}

    /**
     * Whether a revision is in force.
     *
     * @param revision the revision
     * @param pendingZones the availability zones that have not confirmed it
     */
    record InForce(long revision, List<ZoneName> pendingZones) implements ControlReply {}

    /**
     * Revisions of a document.
     *
     * @param versions the revisions, empty if there is none
     */
    record Documents(List<DocumentVersion> versions) implements ControlReply {}

    /** States of a run in the ledger. */
    enum RunState {
        /** This claim may run the request. */
        GRANTED,
        /** Another claim began the run; its end is not known yet. */
        BEGUN,
        /** The run has finished. */
        FINISHED,
        /** The attempt is abandoned and never runs. */
        ABANDONED,
        /** The key was used with another body. */
        BODY_DIFFERS,
        /** The attempt is older than the ledger's memory. */
        EXPIRED,
        /** The ledger takes no more records. */
        FULL,
        /** The ledger has no record of the key. */
        ABSENT
    }

    /**
     * Answer about a run.
     *
     * @param state the state
     * @param answer the recorded answer of a finished run, else null
     */
    record Run(RunState state, RecordedAnswer answer) implements ControlReply {}

    /**
     * The lease of a target was renewed.
     *
     * @param revision the latest configuration revision
     * @param document the document of the target's service if the agent's copy is older, else null
     * @param fence fencing number of the leader's placement orders
     * @param orders what the engine should load and unload; an order stands until it is carried out
     */
    record Announced(long revision, DocumentVersion document, long fence, List<PlacementOrder> orders)
            implements ControlReply {}

    /** What an engine is told to do with a model. */
    enum PlacementAction {
        /** Load the model. */
        LOAD,
        /** Unload the model. */
        UNLOAD
    }

    /**
     * An order to an engine.
     *
     * @param action what to do
     * @param model the model and its version
     */
    record PlacementOrder(PlacementAction action, LoadedModel model) {}

    /**
     * Everything that changed since the last poll.
     *
     * @param revision the latest configuration revision
     * @param documents documents that changed
     * @param epoch the epoch of the membership; in a new epoch the list is complete
     * @param version the version of the membership
     * @param joined targets that joined or changed
     * @param departed targets that left or died
     * @param ledgerTime the present time of the ledger, in milliseconds
     * @param entries number of entries that admit requests
     * @param fleet the fleet configuration if the copy is older, else null
     * @param gateways addresses at which the other gateways take load reports
     * @param controls addresses of the control processes
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
            List<String> controls)
            implements ControlReply {}

    /**
     * A fleet configuration was decided on.
     *
     * @param version the version that is held now, which is higher than the proposed one if that came too late
     */
    record FleetReplaced(long version) implements ControlReply {}

    /**
     * A target's announcement was taken.
     *
     * @param leader address of the process that leads
     */
    record Registered(String leader) implements ControlReply {}

    /**
     * The fleet configuration that is held.
     *
     * @param fleet the configuration, null if there is none
     */
    record Fleet(FleetText fleet) implements ControlReply {}

    /**
     * State of one replica.
     *
     * @param replica identity of the replica
     * @param host its host
     * @param role its role
     * @param term its term
     * @param commitIndex the last committed index that it knows
     * @param appliedIndex the last applied index
     * @param voters the voting hosts
     * @param learners the hosts that catch up
     * @param services the services and their revisions
     * @param targets the targets with a lease
     * @param runs records in the ledger
     * @param pendingZones availability zones that have not confirmed the latest revision
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
            List<ZoneName> pendingZones)
            implements ControlReply {}

    /**
     * A service and the revision of its document.
     *
     * @param service the service
     * @param revision the revision
     */
    record ServiceRevision(ServiceName service, long revision) {}

    /**
     * Events of a time line.
     *
     * @param events the events
     * @param lost events that were overwritten
     */
    record Events(List<Event> events, long lost) implements ControlReply {}
}
