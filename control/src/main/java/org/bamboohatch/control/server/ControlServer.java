package org.bamboohatch.control.server;

import javax.inject.Inject;
import javax.inject.Singleton;

import java.time.Duration;
import java.util.List;
import java.util.function.Supplier;

import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.bamboohatch.control.ControlSettings;
import org.bamboohatch.control.placement.PlacementPlanner;
import org.bamboohatch.control.state.Command;
import org.bamboohatch.control.state.ControlStateMachine;
import org.bamboohatch.control.state.LedgerStateMachine;
import org.bamboohatch.document.DocumentReader;
import org.bamboohatch.document.ServiceDocument;
import org.bamboohatch.kernel.event.Timeline;
import org.bamboohatch.kernel.outcome.Result;
import org.bamboohatch.kernel.service.Service;
import org.bamboohatch.kernel.settings.SettingsError;
import org.bamboohatch.protocol.message.ControlReply;
import org.bamboohatch.protocol.message.ControlReply.Undecided;
import org.bamboohatch.protocol.message.ControlRequest;
import org.bamboohatch.protocol.message.ControlRequest.Announce;
import org.bamboohatch.protocol.message.ControlRequest.ApplyDocument;
import org.bamboohatch.protocol.message.ControlRequest.AwaitInForce;
import org.bamboohatch.protocol.message.ControlRequest.ChangeEvacuation;
import org.bamboohatch.protocol.message.ControlRequest.Deregister;
import org.bamboohatch.protocol.message.ControlRequest.GetDocument;
import org.bamboohatch.protocol.message.ControlRequest.GetEvents;
import org.bamboohatch.protocol.message.ControlRequest.GetFleet;
import org.bamboohatch.protocol.message.ControlRequest.GetStatus;
import org.bamboohatch.protocol.message.ControlRequest.LookupRun;
import org.bamboohatch.protocol.message.ControlRequest.OpenOrder;
import org.bamboohatch.protocol.message.ControlRequest.Poll;
import org.bamboohatch.protocol.message.ControlRequest.RecordCrashes;
import org.bamboohatch.protocol.message.ControlRequest.Register;
import org.bamboohatch.protocol.message.ControlRequest.ReplaceFleet;
import org.bamboohatch.protocol.message.Message;
import org.bamboohatch.protocol.message.OrderTicket;
import org.bamboohatch.protocol.message.TargetAnnouncement;
import org.bamboohatch.protocol.transport.Exchange;
import org.bamboohatch.protocol.transport.Network;
import org.bamboohatch.protocol.transport.RequestHandler;
import org.bamboohatch.replication.driver.ProposalResult;
import org.bamboohatch.replication.driver.ReplicaService;
import org.bamboohatch.replication.message.Member;
import org.bamboohatch.replication.message.ReplicaMessage;

/**
 * Handles the requests of entries, gateways, agents and operators and passes messages of other replicas to the replica.
 * Requests that change replicated state are proposed to the log. Requests for the status and for events are answered by
 * every process, all others by the leader only.
 * Requests arrive on network threads; unless a field says otherwise, mutable fields are used on the replica's thread
 * only.
 */
@Singleton
public final class ControlServer implements RequestHandler, Service {

    private static final Logger LOGGER = LogManager.getLogger(ControlServer.class);

    /** Maximum time for which a read waits until a quorum has confirmed the leader, in milliseconds. */
    private static final long CONFIRMATION_TIMEOUT_MS = 600;

    /** Interval at which held replies are checked, in milliseconds. */
    private static final long SWEEP_INTERVAL_MS = 20;

    /** Interval at which expired leases are ended, in milliseconds. */
    private static final long LEASE_SWEEP_INTERVAL_MS = 100;

    /** Interval at which old records are evicted from the ledger, in milliseconds. */
    private static final long EVICTION_INTERVAL_MS = 60_000;

    private static final long MILLIS_PER_HOUR = 3_600_000;

    private final ControlSettings settings;

    private final ReplicaService replica;

    private final ControlStateMachine stateMachine;

    private final Network network;

    private final SubscriberAnswers answers;

    private final LeaderSession session;

    private final SubscriberRequests subscriberRequests;

    private final FleetRequests fleetRequests;

    private final EvacuationRequests evacuationRequests;

    private final CrashRequests crashRequests;

    private final VoterShortage shortage;

    /** Whether a leader was known at the last sweep; written on the replica's thread, read by any thread. */
    private volatile boolean ready;

    /** Number of voters at the last sweep; written on the replica's thread, read by any thread. */
    private volatile int voters;

    /** Time of the next lease sweep, in milliseconds of the monotonic clock. */
    private long nextLeaseSweep;

    /** Time of the next eviction, in milliseconds of the monotonic clock. */
    private long nextEviction;

    /** The documents that the placement was last planned from. */
    private List<ServiceDocument> plannedDocuments = List.of();

    /** Revision of {@link #plannedDocuments}. */
    private long plannedRevision = -1;

    /**
     * Creates a server whose sweeps begin with {@link #start()}.
     *
     * @param settings settings of the control process
     * @param replica the replica that commits and applies commands
     * @param stateMachine the state that the replica's log drives
     * @param network schedules the sweeps and provides the timeline
     */
    @Inject
    public ControlServer(
            ControlSettings settings, ReplicaService replica, ControlStateMachine stateMachine, Network network) {
        this.settings = settings;
        this.replica = replica;
        this.stateMachine = stateMachine;
        this.network = network;
        this.shortage = new VoterShortage(settings.voters());
        this.answers = new SubscriberAnswers(stateMachine);
        this.session = new LeaderSession(settings, replica, stateMachine, network);
        this.subscriberRequests = new SubscriberRequests(session, stateMachine, answers, this::planPlacement);
        this.fleetRequests = new FleetRequests(session, settings, replica, stateMachine);
        this.crashRequests = new CrashRequests(session, replica, stateMachine);
        this.evacuationRequests = new EvacuationRequests(session, settings, replica, stateMachine);
    }

    @Override
    public void start() {
        network.every(Duration.ofMillis(SWEEP_INTERVAL_MS), () -> replica.execute(this::sweep));
    }

    @Override
    public void stop() {
        // The scheduled sweeps are cancelled when the network stops.
        replica.handOver();
    }

    @Override
    public void handle(Message request, Exchange exchange) {
        if (request instanceof ReplicaMessage.Envelope envelope) {
            replica.receive(envelope);
        } else if (request instanceof ReplicaMessage message) {
            replica.receive(message);
        } else if (request instanceof GetEvents events) {
            Timeline timeline = network.timeline();
            exchange.end(new ControlReply.Events(timeline.events(events.subject()), timeline.lost()));
        } else if (request instanceof GetStatus) {
            replica.execute(() -> exchange.end(replicaStatus()));
        } else if (request instanceof ApplyDocument apply) {
            apply(apply, exchange);
        } else if (isLedgerCommand(request)) {
            propose(request, exchange);
        } else if (request instanceof ReplaceFleet replace) {
            fleetRequests.replace(replace, this::ledgerTime, exchange);
        } else if (request instanceof ChangeEvacuation change) {
            replica.execute(() -> evacuationRequests.change(change, this::ledgerTime, exchange));
        } else if (request instanceof Announce announce && !hasAddress(announce.announcement())
                || request instanceof Register register && !hasAddress(register.announcement())) {
            exchange.end(new ControlReply.Invalid(List.of("the address is not a host and a port")));
        } else if (request instanceof ControlRequest other) {
            replica.execute(() -> handleAsLeader(other, exchange));
        }
    }

    private static boolean hasAddress(TargetAnnouncement announcement) {
        return Network.parseAnnounced(announcement.address()).isPresent();
    }

    private static boolean isLedgerCommand(Message request) {
        return request instanceof ControlRequest.BeginRun
                || request instanceof ControlRequest.AbandonRun
                || request instanceof ControlRequest.FinishRun;
    }

    /**
     * Validates a document and proposes it. An invalid document is answered with all its errors and is not proposed.
     *
     * @param apply the change of the document
     * @param exchange receives the reply
     */
    private void apply(ApplyDocument apply, Exchange exchange) {
        Result<ServiceDocument, List<SettingsError>> result =
                DocumentReader.read(apply.service().value(), apply.text());
        if (result instanceof Result.Failure<ServiceDocument, List<SettingsError>> failure) {
            exchange.end(new ControlReply.Invalid(
                    failure.problem().stream().map(SettingsError::toString).toList()));
            return;
        }
        network.timeline().record(apply.service().value(), "apply", apply.changeId(), System.currentTimeMillis());
        propose(apply, exchange);
    }

    /**
     * Proposes a request and replies with the result of the state machine, with the leader's address if this process
     * does not lead, or with {@link Undecided} if leadership was lost before the request was committed.
     *
     * @param request the request that the state machine applies
     * @param exchange receives the reply
     */
    private void propose(Message request, Exchange exchange) {
        Supplier<byte[]> command = () -> ControlStateMachine.encode(new Command(ledgerTime(), request));
        replica.propose(command).thenAccept(proposal -> {
            if (proposal instanceof ProposalResult.Applied applied) {
                exchange.end((Message) applied.result());
                if (request instanceof ApplyDocument) {
                    replica.execute(session::releaseChanged);
                }
            } else if (proposal instanceof ProposalResult.NotLeader) {
                replica.execute(() -> exchange.end(session.notLeader()));
            } else {
                exchange.end(new Undecided("leadership changed before the request was decided"));
            }
        });
    }

    /**
     * Returns the leader's ledger time, or the last applied ledger time if this process does not lead.
     *
     * @return the time in milliseconds
     */
    private long ledgerTime() {
        session.refreshLeadership();
        return session.leader() == null
                ? stateMachine.ledger().time()
                : session.leader().ledgerTime(stateMachine.ledger().time(), ReplicaService.now());
    }

    /**
     * Handles a request that does not go through the log but that only the leader answers. Reads of replicated state are
     * answered once a quorum has confirmed, after their arrival, that this process still leads.
     *
     * @param request the request
     * @param exchange receives the reply
     */
    private void handleAsLeader(ControlRequest request, Exchange exchange) {
        session.refreshLeadership();
        if (session.leader() == null) {
            exchange.end(session.notLeader());
        } else if (request instanceof Poll poll) {
            subscriberRequests.poll(poll, exchange);
        } else if (request instanceof Announce announce) {
            subscriberRequests.announce(announce, exchange);
        } else if (request instanceof Register register) {
            fleetRequests.register(register, this::ledgerTime, exchange);
        } else if (request instanceof Deregister deregister) {
            fleetRequests.deregister(deregister, this::ledgerTime, exchange);
        } else if (request instanceof RecordCrashes crashes) {
            crashRequests.record(crashes, this::ledgerTime, exchange);
        } else if (request instanceof OpenOrder) {
            exchange.end(new ControlReply.OrderOpened(
                    new OrderTicket(session.leader().term(), ReplicaService.now())));
        } else if (request instanceof AwaitInForce await) {
            subscriberRequests.awaitInForce(await, exchange);
        } else {
            long now = ReplicaService.now();
            session.holdForChange(CONFIRMATION_TIMEOUT_MS, () -> session.isConfirmedSince(now), () -> {
                if (session.isConfirmedSince(now)) {
                    exchange.end(answer(request));
                } else {
                    exchange.end(session.notLeader());
                }
            });
            session.requestConfirmation();
        }
    }

    /**
     * Answers a read of replicated state.
     *
     * @param request the read request
     * @return the reply, {@link Undecided} for an unknown request
     */
    private ControlReply answer(ControlRequest request) {
        if (request instanceof GetDocument get) {
            return answers.documents(get);
        } else if (request instanceof LookupRun lookup) {
            return stateMachine.ledger().lookup(lookup.key());
        } else if (request instanceof GetFleet) {
            return new ControlReply.Fleet(stateMachine.fleet().current());
        }
        return new Undecided("unknown question " + request.getClass().getSimpleName());
    }

    /**
     * Indicates whether this process belongs to a replication group with a leader; may be called by any thread.
     *
     * @return whether a leader was known at the last sweep
     */
    public boolean isReady() {
        return ready;
    }

    /**
     * Returns the number of voters that this process knows; may be called by any thread.
     *
     * @return the number at the last sweep
     */
    public int voters() {
        return voters;
    }

    /** Ends expired leases, plans the placement, evicts old records and sends held replies that are due. */
    private void sweep() {
        session.refreshLeadership();
        ready = !replica.leaderAddress().isEmpty();
        voters = replica.core().membership().voters().size();
        long now = ReplicaService.now();
        if (session.leader() != null) {
            shortage.update(voters, now);
        }
        if (session.leader() != null && now >= nextLeaseSweep) {
            nextLeaseSweep = now + LEASE_SWEEP_INTERVAL_MS;
            boolean departed = session.leader().targets().sweep(now);
            if (departed || plannedRevision != stateMachine.documents().lastRevision()) {
                planPlacement();
                session.releaseChanged();
            }
            evict(now);
        }
        session.sweep(now);
    }

    /** Plans the placement orders from scratch, unless the target registry is still incomplete. */
    private void planPlacement() {
        if (!session.leader().targets().isComplete(ReplicaService.now())) {
            return;
        }
        if (plannedRevision != stateMachine.documents().lastRevision()) {
            plannedRevision = stateMachine.documents().lastRevision();
            plannedDocuments = stateMachine.documents().changedSince(0).stream()
                    .map(version -> DocumentReader.read(version.service().value(), version.text()))
                    .map(result -> ((Result.Success<ServiceDocument, List<SettingsError>>) result).value())
                    .toList();
        }
        session.leader()
                .replaceOrders(PlacementPlanner.plan(
                        plannedDocuments, session.leader().targets().live()));
    }

    /**
     * Proposes an eviction from the ledger if the eviction interval has passed. Records are kept for the configured
     * retention plus the maximum age of an attempt, so that every attempt that could claim them has expired.
     *
     * @param now current monotonic time, in milliseconds
     */
    private void evict(long now) {
        if (now < nextEviction) {
            return;
        }
        nextEviction = now + EVICTION_INTERVAL_MS;
        long retentionMillis = settings.retentionHours() * MILLIS_PER_HOUR + LedgerStateMachine.MAX_ATTEMPT_AGE_MS;
        long time = ledgerTime();
        replica.propose(() -> ControlStateMachine.encode(new Command(time, new Command.Evict(time - retentionMillis))));
    }

    private ControlReply replicaStatus() {
        session.refreshLeadership();
        var core = replica.core();
        long now = ReplicaService.now();
        return new ControlReply.Status(
                replica.self().replica().value(),
                settings.host().value(),
                core.role().name(),
                core.term(),
                core.log().commitIndex(),
                core.log().appliedIndex(),
                core.membership().voters().stream().map(ControlServer::format).toList(),
                core.membership().learners().stream().map(ControlServer::format).toList(),
                stateMachine.documents().services(),
                session.leader() == null
                        ? List.of()
                        : List.copyOf(session.leader().targets().live()),
                stateMachine.ledger().size(),
                session.leader() == null
                        ? List.of()
                        : session.leader()
                                .subscribers()
                                .pendingZones(stateMachine.documents().lastRevision(), now),
                stateMachine.evacuations().current());
    }

    private static String format(Member member) {
        return member.host() + "@" + member.address();
    }
}
