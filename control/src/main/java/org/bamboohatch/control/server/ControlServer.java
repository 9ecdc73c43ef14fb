package org.bamboohatch.control.server;

import javax.inject.Inject;
import javax.inject.Singleton;

import java.time.Duration;
import java.util.List;
import java.util.Objects;
import java.util.function.Supplier;

import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.bamboohatch.control.ControlSettings;
import org.bamboohatch.control.placement.PlacementPlanner;
import org.bamboohatch.control.state.Command;
import org.bamboohatch.control.state.ControlMachine;
import org.bamboohatch.control.state.LedgerMachine;
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
import org.bamboohatch.protocol.message.ControlRequest.GetDocument;
import org.bamboohatch.protocol.message.ControlRequest.GetEvents;
import org.bamboohatch.protocol.message.ControlRequest.GetStatus;
import org.bamboohatch.protocol.message.ControlRequest.LookupRun;
import org.bamboohatch.protocol.message.ControlRequest.Poll;
import org.bamboohatch.protocol.message.Message;
import org.bamboohatch.protocol.transport.Exchange;
import org.bamboohatch.protocol.transport.Network;
import org.bamboohatch.protocol.transport.RequestHandler;
import org.bamboohatch.replication.consensus.Role;
import org.bamboohatch.replication.driver.Proposal;
import org.bamboohatch.replication.driver.ReplicaService;
import org.bamboohatch.replication.message.Member;
import org.bamboohatch.replication.message.ReplicaMessage;

/** Answers the requests of entries, agents and operators; what it keeps is used on the replica's thread only. */
@Singleton
public final class ControlServer implements RequestHandler, Service {

    /** Logger of this part. */
    private static final Logger LOGGER = LogManager.getLogger(ControlServer.class);

    /** Time for which a poll waits for a change, in milliseconds. */
    private static final long POLL_HOLD_MS = 500;

    /** Time for which an announcement waits for a change, in milliseconds. */
    private static final long ANNOUNCE_HOLD_MS = 800;

    /** Time for which a question for a revision in force waits, in milliseconds. */
    private static final long IN_FORCE_HOLD_MS = 500;

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
    private final ControlMachine machine;

    /** The network threads. */
    private final Network network;

    /** Makes the answers to the processes that hold configuration. */
    private final HolderAnswers answers;

    /** Replies that wait for a change of documents, membership or orders. */
    private final WaitingReplies waiting = new WaitingReplies();

    /** Replies that wait for a revision to be in force. */
    private final WaitingReplies waitingForForce = new WaitingReplies();

    /** Whether a leader was known at the last look; read by other threads. */
    private volatile boolean ready;

    /** Time of the next look at the leases. */
    private long nextLeaseSweep;

    /** What this process keeps while it leads, or null. */
    private LeaderState leader;

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
    public ControlServer(ControlSettings settings, ReplicaService replica, ControlMachine machine, Network network) {
        this.settings = settings;
        this.replica = replica;
        this.machine = machine;
        this.network = network;
        this.answers = new HolderAnswers(machine);
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
        Supplier<byte[]> command = () -> ControlMachine.encode(new Command(ledgerTime(), request));
        replica.propose(command).thenAccept(proposal -> {
            if (proposal instanceof Proposal.Decided decided) {
                exchange.end((Message) decided.result());
                if (request instanceof ApplyDocument) {
                    replica.execute(waiting::releaseDue);
                }
            } else if (proposal instanceof Proposal.NotLeader) {
                replica.execute(() -> exchange.end(notLeader()));
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
        refreshLeadership();
        return leader == null ? machine.ledger().time() : leader.ledgerTime(ReplicaService.now());
    }

    /**
     * Answers a read under the leader's lease.
     *
     * @param request the request
     * @param exchange takes the reply
     */
    private void read(ControlRequest request, Exchange exchange) {
        refreshLeadership();
        if (!mayRead()) {
            exchange.end(notLeader());
        } else if (request instanceof Poll poll) {
            poll(poll, exchange);
        } else if (request instanceof Announce announce) {
            announce(announce, exchange);
        } else if (request instanceof GetDocument get) {
            exchange.end(answers.documents(get));
        } else if (request instanceof LookupRun lookup) {
            exchange.end(machine.ledger().lookup(lookup.key()));
        } else if (request instanceof AwaitInForce await) {
            awaitInForce(await, exchange);
        }
    }

    /**
     * Tells whether the process is part of a group that has a leader.
     *
     * @return whether a leader was known at the last look
     */
    public boolean isReady() {
        return ready;
    }

    /**
     * Tells whether this process may answer reads now.
     *
     * @return whether the lease holds
     */
    private boolean mayRead() {
        return leader != null && replica.core().mayRead(ReplicaService.now());
    }

    /** Takes note of a change of leadership. */
    private void refreshLeadership() {
        boolean leads = replica.core().role() == Role.LEADER;
        if (!leads) {
            leader = null;
        } else if (leader == null || leader.term() != replica.core().term()) {
            long now = ReplicaService.now();
            leader = new LeaderState(replica.core().term(), machine.ledger().time(), now);
            LOGGER.info("control: leads in term {}", leader.term());
            network.timeline()
                    .record(settings.host().value(), "leads", "term " + leader.term(), System.currentTimeMillis());
        }
    }

    /**
     * Answers a poll when something changed or its time has run out. The first poll that a new leader hears is
     * answered at once, because the holder has to show soon that its copy is fresh.
     *
     * @param poll the poll
     * @param exchange takes the reply
     */
    private void poll(Poll poll, Exchange exchange) {
        long now = ReplicaService.now();
        boolean firstContact =
                leader.holders().hear(poll.holder().value(), poll.zone(), true, poll.appliedRevision(), now);
        waiting.add(
                now + POLL_HOLD_MS,
                () -> mayRead() && (firstContact || answers.hasNews(poll, leader, ReplicaService.now())),
                () -> exchange.end(mayRead() ? answers.changes(poll, leader, ReplicaService.now()) : notLeader()));
    }

    /**
     * Renews a target's lease and answers when there is news or the time has run out.
     *
     * @param announce the announcement
     * @param exchange takes the reply
     */
    private void announce(Announce announce, Exchange exchange) {
        long now = ReplicaService.now();
        var target = announce.announcement();
        if (!target.leaving()) {
            leader.holders().hear(target.target().value(), target.zone(), false, announce.appliedRevision(), now);
        }
        boolean changed = leader.targets().announce(target, now);
        if (changed) {
            plan();
        }
        List<ControlReply.PlacementOrder> known = leader.orders(target.target());
        waiting.add(
                now + ANNOUNCE_HOLD_MS,
                () -> target.leaving()
                        || machine.documents().lastRevision() > announce.appliedRevision()
                        || leader != null && !Objects.equals(leader.orders(target.target()), known),
                () -> exchange.end(mayRead() ? answers.announced(announce, leader) : notLeader()));
        if (changed) {
            waiting.releaseDue();
        }
    }

    /**
     * Answers whether a revision is in force, when it is or the time has run out.
     *
     * @param await the question
     * @param exchange takes the reply
     */
    private void awaitInForce(AwaitInForce await, Exchange exchange) {
        long now = ReplicaService.now();
        waitingForForce.add(
                now + IN_FORCE_HOLD_MS,
                () -> mayRead()
                        && leader.holders().isComplete(ReplicaService.now())
                        && leader.holders()
                                .pendingZones(await.revision(), ReplicaService.now())
                                .isEmpty(),
                () -> exchange.end(inForce(await)));
    }

    /**
     * Answers whether a revision is in force.
     *
     * @param await the question
     * @return the zones that have not confirmed it
     */
    private ControlReply inForce(AwaitInForce await) {
        if (!mayRead()) {
            return notLeader();
        }
        long now = ReplicaService.now();
        if (!leader.holders().isComplete(now)) {
            return new Undecided("the leader is new and has not heard every process yet");
        }
        return new ControlReply.InForce(await.revision(), leader.holders().pendingZones(await.revision(), now));
    }

    /**
     * Answers that another process leads.
     *
     * @return the reply with the leader's address, if it is known
     */
    private ControlReply notLeader() {
        return new ControlReply.NotLeader(replica.leaderAddress());
    }

    /** Ends leases, plans orders, evicts old records and releases waiting replies. */
    private void sweep() {
        refreshLeadership();
        ready = !replica.leaderAddress().isEmpty();
        long now = ReplicaService.now();
        if (leader != null && now >= nextLeaseSweep) {
            nextLeaseSweep = now + LEASE_SWEEP_INTERVAL_MS;
            boolean departed = leader.targets().sweep(now);
            if (departed || plannedRevision != machine.documents().lastRevision()) {
                plan();
                waiting.releaseDue();
            }
            evict(now);
        }
        waiting.releaseExpired(now);
        waitingForForce.releaseExpired(now);
        waitingForForce.releaseDue();
    }

    /** Plans the standing orders anew. */
    private void plan() {
        if (!leader.targets().isComplete(ReplicaService.now())) {
            return;
        }
        if (plannedRevision != machine.documents().lastRevision()) {
            plannedRevision = machine.documents().lastRevision();
            plannedDocuments = machine.documents().changedSince(0).stream()
                    .map(version -> DocumentReader.read(version.service().value(), version.text()))
                    .map(result -> ((Result.Success<ServiceDocument, List<SettingsError>>) result).value())
                    .toList();
        }
        leader.order(PlacementPlanner.plan(plannedDocuments, leader.targets().live()));
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
        long kept = settings.retentionHours() * HOUR_MS + LedgerMachine.MAX_ATTEMPT_AGE_MS;
        long time = ledgerTime();
        replica.propose(() -> ControlMachine.encode(new Command(time, new Command.Evict(time - kept))));
    }

    /**
     * Describes this process.
     *
     * @return the status
     */
    private ControlReply describe() {
        refreshLeadership();
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
                leader == null ? List.of() : List.copyOf(leader.targets().live()),
                machine.ledger().size(),
                leader == null
                        ? List.of()
                        : leader.holders().pendingZones(machine.documents().lastRevision(), now));
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
