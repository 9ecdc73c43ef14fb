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
import org.bamboohatch.protocol.message.ControlRequest.Deregister;
import org.bamboohatch.protocol.message.ControlRequest.GetDocument;
import org.bamboohatch.protocol.message.ControlRequest.GetEvents;
import org.bamboohatch.protocol.message.ControlRequest.GetFleet;
import org.bamboohatch.protocol.message.ControlRequest.GetStatus;
import org.bamboohatch.protocol.message.ControlRequest.LookupRun;
import org.bamboohatch.protocol.message.ControlRequest.Poll;
import org.bamboohatch.protocol.message.ControlRequest.Register;
import org.bamboohatch.protocol.message.ControlRequest.ReplaceFleet;
import org.bamboohatch.protocol.message.Message;
import org.bamboohatch.protocol.transport.Exchange;
import org.bamboohatch.protocol.transport.Network;
import org.bamboohatch.protocol.transport.RequestHandler;
import org.bamboohatch.replication.driver.ProposalResult;
import org.bamboohatch.replication.driver.ReplicaService;
import org.bamboohatch.replication.message.Member;
import org.bamboohatch.replication.message.ReplicaMessage;

/** Answers the requests of entries, agents and operators; what it keeps is used on the replica's thread only. */
@Singleton
public final class ControlServer implements RequestHandler, Service {

    /** Logger of this part. */
    private static final Logger LOGGER = LogManager.getLogger(ControlServer.class);

    /** Time for which a read waits until a quorum has confirmed the leader, in milliseconds. */
    private static final long CONFIRMATION_HOLD_MS = 600;

    /** Time between two looks at the waiting replies, in milliseconds. */
    private static final long SWEEP_INTERVAL_MS = 20;

    /** Time between two sweeps of the leases, in milliseconds. */
    private static final long LEASE_SWEEP_INTERVAL_MS = 100;

    /** Time between two evictions from the ledger, in milliseconds. */
    private static final long EVICTION_INTERVAL_MS = 60_000;

    /** Milliseconds in an hour. */
    private static final long HOUR_MS = 3_600_000;

    /** The settings. */
    private final ControlSettings settings;

    /** The replica. */
    private final ReplicaService replica;

    /** The state machine. */
    private final ControlStateMachine machine;

    /** The network threads. */
    private final Network network;

    /** Makes the answers to the processes that hold configuration. */
    private final SubscriberAnswers answers;

    /** What the process keeps while it leads. */
    private final LeaderSession session;

    /** Answers holders of the configuration. */
    private final SubscriberRequests holders;

    /** Answers about the fleet. */
    private final FleetRequests fleet;

    /** Whether a leader was known at the last look; read by other threads. */
    private volatile boolean ready;

    /** Time of the next look at the leases. */
    private long nextLeaseSweep;

    /** Time of the next eviction. */
    private long nextEviction;

    /** Revision of the documents that the standing orders were planned from. */
    private List<ServiceDocument> plannedDocuments = List.of();

    /** Revision of those documents. */
    private long plannedRevision = -1;

    /**
     * Creates a server.
     *
     * @param settings the settings
     * @param replica the replica
     * @param machine the state machine
     * @param network the network threads
     */
    @Inject
    public ControlServer(
            ControlSettings settings, ReplicaService replica, ControlStateMachine machine, Network network) {
        this.settings = settings;
        this.replica = replica;
        this.machine = machine;
        this.network = network;
        this.answers = new SubscriberAnswers(machine);
        this.session = new LeaderSession(settings, replica, machine, network);
        this.holders = new SubscriberRequests(session, machine, answers, this::plan);
        this.fleet = new FleetRequests(session, settings, replica);
    }

    @Override
    public void start() {
        network.every(Duration.ofMillis(SWEEP_INTERVAL_MS), () -> replica.execute(this::sweep));
    }

    @Override
    public void stop() {
        // The sweeps end with the network.
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
            replica.execute(() -> exchange.end(describe()));
        } else if (request instanceof ApplyDocument apply) {
            apply(apply, exchange);
        } else if (isLedgerCommand(request)) {
            propose(request, exchange);
        } else if (request instanceof ReplaceFleet replace) {
            fleet.replace(replace, this::ledgerTime, exchange);
        } else if (request instanceof ControlRequest read) {
            replica.execute(() -> read(read, exchange));
        }
    }

    /**
     * Tells whether a request changes the ledger.
     *
     * @param request the request
     * @return whether it goes through the log
     */
    private static boolean isLedgerCommand(Message request) {
        return request instanceof ControlRequest.BeginRun
                || request instanceof ControlRequest.AbandonRun
                || request instanceof ControlRequest.FinishRun;
    }

    /**
     * Checks a document and proposes it.
     *
     * @param apply the change
     * @param exchange takes the reply
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
     * Proposes a request and replies with its result.
     *
     * @param request the request
     * @param exchange takes the reply
     */
    private void propose(Message request, Exchange exchange) {
        Supplier<byte[]> command = () -> ControlStateMachine.encode(new Command(ledgerTime(), request));
        replica.propose(command).thenAccept(proposal -> {
            if (proposal instanceof ProposalResult.Applied decided) {
                exchange.end((Message) decided.result());
                if (request instanceof ApplyDocument) {
                    replica.execute(session::releaseNews);
                }
            } else if (proposal instanceof ProposalResult.NotLeader) {
                replica.execute(() -> exchange.end(session.notLeader()));
            } else {
                exchange.end(new Undecided("leadership changed before the request was decided"));
            }
        });
    }

    /**
     * Returns the leader's ledger time.
     *
     * @return the time in milliseconds
     */
    private long ledgerTime() {
        session.refreshLeadership();
        return session.leader() == null
                ? machine.ledger().time()
                : session.leader().ledgerTime(ReplicaService.now());
    }

    /**
     * Answers a read once a quorum has confirmed that this process still leads.
     *
     * @param request the request
     * @param exchange takes the reply
     */
    private void read(ControlRequest request, Exchange exchange) {
        session.refreshLeadership();
        if (session.leader() == null) {
            exchange.end(session.notLeader());
        } else if (request instanceof Poll poll) {
            holders.poll(poll, exchange);
        } else if (request instanceof Announce announce) {
            holders.announce(announce, exchange);
        } else if (request instanceof Register register) {
            fleet.register(register, exchange);
        } else if (request instanceof Deregister deregister) {
            fleet.deregister(deregister, exchange);
        } else if (request instanceof AwaitInForce await) {
            holders.awaitInForce(await, exchange);
        } else {
            long now = ReplicaService.now();
            session.holdForNews(CONFIRMATION_HOLD_MS, () -> session.isConfirmedSince(now), () -> {
                if (session.isConfirmedSince(now)) {
                    exchange.end(answer(request));
                } else {
                    exchange.end(session.notLeader());
                }
            });
            session.seekConfirmation();
        }
    }

    /**
     * Answers a question about the durable state.
     *
     * @param request the question
     * @return the reply
     */
    private ControlReply answer(ControlRequest request) {
        if (request instanceof GetDocument get) {
            return answers.documents(get);
        } else if (request instanceof LookupRun lookup) {
            return machine.ledger().lookup(lookup.key());
        } else if (request instanceof GetFleet) {
            return new ControlReply.Fleet(machine.fleet().current());
        }
        return new Undecided("unknown question " + request.getClass().getSimpleName());
    }

    /**
     * Tells whether the process is part of a group that has a leader.
     *
     * @return whether a leader was known at the last look
     */
    public boolean isReady() {
        return ready;
    }

    /** Ends leases, plans orders, evicts old records and releases waiting replies. */
    private void sweep() {
        session.refreshLeadership();
        ready = !replica.leaderAddress().isEmpty();
        long now = ReplicaService.now();
        if (session.leader() != null && now >= nextLeaseSweep) {
            nextLeaseSweep = now + LEASE_SWEEP_INTERVAL_MS;
            boolean departed = session.leader().targets().sweep(now);
            if (departed || plannedRevision != machine.documents().lastRevision()) {
                plan();
                session.releaseNews();
            }
            evict(now);
        }
        session.sweep(now);
    }

    /** Plans the standing orders anew. */
    private void plan() {
        if (!session.leader().targets().isComplete(ReplicaService.now())) {
            return;
        }
        if (plannedRevision != machine.documents().lastRevision()) {
            plannedRevision = machine.documents().lastRevision();
            plannedDocuments = machine.documents().changedSince(0).stream()
                    .map(version -> DocumentReader.read(version.service().value(), version.text()))
                    .map(result -> ((Result.Success<ServiceDocument, List<SettingsError>>) result).value())
                    .toList();
        }
        session.leader()
                .order(PlacementPlanner.plan(
                        plannedDocuments, session.leader().targets().live()));
    }

    /**
     * Proposes an eviction from the ledger when it is due.
     *
     * @param now the present time
     */
    private void evict(long now) {
        if (now < nextEviction) {
            return;
        }
        nextEviction = now + EVICTION_INTERVAL_MS;
        long kept = settings.retentionHours() * HOUR_MS + LedgerStateMachine.MAX_ATTEMPT_AGE_MS;
        long time = ledgerTime();
        replica.propose(() -> ControlStateMachine.encode(new Command(time, new Command.Evict(time - kept))));
    }

    /**
     * Describes this process.
     *
     * @return the status
     */
    private ControlReply describe() {
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
                core.membership().voters().stream().map(ControlServer::words).toList(),
                core.membership().learners().stream().map(ControlServer::words).toList(),
                machine.documents().services(),
                session.leader() == null
                        ? List.of()
                        : List.copyOf(session.leader().targets().live()),
                machine.ledger().size(),
                session.leader() == null
                        ? List.of()
                        : session.leader()
                                .holders()
                                .pendingZones(machine.documents().lastRevision(), now));
    }

    /**
     * Renders a replica.
     *
     * @param member the replica
     * @return host and address
     */
    private static String words(Member member) {
        return member.host() + "@" + member.address();
    }
}
