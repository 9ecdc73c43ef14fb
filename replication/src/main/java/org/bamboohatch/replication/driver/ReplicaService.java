package org.bamboohatch.replication.driver;

import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.Supplier;

import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.bamboohatch.kernel.id.HostName;
import org.bamboohatch.kernel.service.Invariant;
import org.bamboohatch.kernel.service.Service;
import org.bamboohatch.protocol.message.Message;
import org.bamboohatch.protocol.transport.Link;
import org.bamboohatch.protocol.transport.Network;
import org.bamboohatch.replication.StateMachine;
import org.bamboohatch.replication.consensus.ConsensusCore;
import org.bamboohatch.replication.consensus.OutgoingMessage;
import org.bamboohatch.replication.consensus.Role;
import org.bamboohatch.replication.message.Member;
import org.bamboohatch.replication.message.Membership;
import org.bamboohatch.replication.message.ReplicaMessage;
import org.bamboohatch.replication.message.ReplicaMessage.Envelope;
import org.bamboohatch.replication.message.ReplicaMessage.Formation;
import org.bamboohatch.replication.message.ReplicaMessage.FounderReply;
import org.bamboohatch.replication.message.ReplicaMessage.JoinRequest;
import org.bamboohatch.replication.message.ReplicaMessage.NoReplica;
import org.bamboohatch.replication.message.ReplicaMessage.Probe;
import org.bamboohatch.replication.message.ReplicaMessage.ProbeReply;
import org.bamboohatch.replication.message.Snapshot;
import org.bamboohatch.replication.storage.LocalDisk;
import org.bamboohatch.replication.storage.LogStore;

/**
 * Runs one replica. A single thread processes queued tasks in batches; after each batch a {@link ReplicaStepper} carries
 * out the effects with a single sync of the log and applies committed entries.
 */
public final class ReplicaService implements Service {

    /** Exit status of a process whose storage failed. */
    public static final int EXIT_STORAGE_FAILURE = 74;

    private static final Logger LOGGER = LogManager.getLogger(ReplicaService.class);

    private static final long TICK_MS = 20;

    /** Time that a planned stop waits for others to take over leadership and the vote of this replica, in milliseconds. */
    private static final long HAND_OVER_TIMEOUT_MS = 2_000;

    private static final int MAX_BATCH_TASKS = 4_096;

    private static final long NANOS_PER_MS = 1_000_000;

    private final ReplicaSettings settings;

    private final StateMachine stateMachine;

    private final Network network;

    /** Tasks for the replica thread. */
    private final LinkedBlockingQueue<Runnable> inbox = new LinkedBlockingQueue<>();

    private final PeerAddresses addresses = new PeerAddresses();

    /** Links to other replicas, by address. */
    private final Map<String, Link> links = new HashMap<>();

    private final PendingProposals proposals = new PendingProposals();

    private final Thread thread;

    private volatile boolean running = true;

    private LocalDisk disk;

    private LogStore store;

    private Member self;

    private ConsensusCore core;

    private ReplicaStepper stepper;

    private BootstrapCoordinator bootstrap;

    /** Number of answers that the bootstrap of a group lacks; written on the replica's thread, read by any thread. */
    private volatile int missingBootstrapAnswers;

    /** The membership that was logged last. */
    private Membership loggedMembership = Membership.EMPTY;

    /**
     * Creates a replica that is not running yet.
     *
     * @param settings the settings of the replica
     * @param stateMachine the state machine that applies committed commands
     * @param network the network threads for links to other replicas
     */
    public ReplicaService(ReplicaSettings settings, StateMachine stateMachine, Network network) {
        this.settings = settings;
        this.stateMachine = stateMachine;
        this.network = network;
        this.thread = new Thread(Invariant.guard(this::run), "replica");
    }

    /**
     * Returns the current time of the monotonic clock that the replica uses.
     *
     * @return the time in milliseconds, unrelated to the time of day
     */
    public static long now() {
        return System.nanoTime() / NANOS_PER_MS;
    }

    @Override
    public void start() {
        try {
            disk = new LocalDisk(settings.dataFolder());
            store = new LogStore(disk);
            LogStore.StoredState storedState = store.load(settings.host(), permittedFoundingPeers());
            self = new Member(storedState.identity().replica(), settings.host(), settings.address(), settings.zone());
            initialize(storedState);
        } catch (IOException unusable) {
            haltOnStorageFailure("data folder cannot be opened", unusable);
        }
        thread.start();
    }

    private void initialize(LogStore.StoredState storedState) {
        stateMachine.restore(storedState.snapshot().state());
        core = new ConsensusCore(
                self.replica(),
                settings.timing(),
                new java.util.SplittableRandom(self.replica().hashCode()),
                storedState.state(),
                storedState.snapshot(),
                storedState.entries(),
                settings.desiredVoters(),
                now());
        stepper = new ReplicaStepper(core, store, stateMachine, settings.snapshotEntries());
        List<String> foundingPeers = settings.bootstrapAllowed()
                ? settings.peers()
                : storedState.identity().foundingPeers();
        bootstrap = new BootstrapCoordinator(
                core, self, settings, foundingPeers, addresses, this::send, this::installBootstrapSnapshot);
        LOGGER.info(
                "replica: {} starts at index {} in term {}",
                self.replica(),
                core.log().lastIndex(),
                core.term());
    }

    /**
     * Returns the peers that are recorded with a new identity. A replica that restarts before there is a group may still
     * found it with them, although its settings do not permit a bootstrap after the first start.
     *
     * @return the addresses, or null if the settings do not permit a bootstrap
     */
    private List<String> permittedFoundingPeers() {
        return settings.bootstrapAllowed() ? settings.peers() : null;
    }

    /**
     * Returns the number of answers that the bootstrap of a group lacks; may be called by any thread.
     *
     * @return the number of configured peers, zero if this replica is a member of a group
     */
    public int missingBootstrapAnswers() {
        return missingBootstrapAnswers;
    }

    /**
     * Hands leadership and the vote of this replica over before a planned stop, so that the group neither is without a
     * leader for an election timeout nor counts a replica that is gone. Returns when both are done, or after a timeout.
     */
    public void handOver() {
        long giveUpAt = now() + HAND_OVER_TIMEOUT_MS;
        try {
            while (now() < giveUpAt && !hasLeft()) {
                TimeUnit.MILLISECONDS.sleep(TICK_MS);
            }
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        } catch (ExecutionException | TimeoutException unanswered) {
            LOGGER.warn("replica: leadership and vote are not handed over: {}", unanswered.toString());
        }
    }

    /**
     * Continues to leave the group.
     *
     * @return whether this replica neither leads nor has a vote that another one could take
     */
    private boolean hasLeft() throws InterruptedException, ExecutionException, TimeoutException {
        CompletableFuture<Boolean> left = new CompletableFuture<>();
        inbox.add(() -> {
            core.leave(now());
            left.complete(core.hasLeft());
        });
        return left.get(HAND_OVER_TIMEOUT_MS, TimeUnit.MILLISECONDS);
    }

    @Override
    public void stop() {
        running = false;
        inbox.add(() -> {});
        try {
            thread.join();
            disk.close();
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        } catch (IOException ignored) {
            LOGGER.warn("replica: closing the data folder failed");
        }
        links.values().forEach(Link::close);
    }

    /**
     * Handles a message that concerns bootstrap or membership, on the replica thread.
     *
     * @param message the message from another replica
     */
    public void receive(ReplicaMessage message) {
        inbox.add(() -> handleMessage(message));
    }

    /**
     * Handles a consensus message on the replica thread.
     *
     * @param envelope the message with the identity of its receiver
     */
    public void receive(Envelope envelope) {
        inbox.add(() -> {
            addresses.recordSender(envelope);
            core.receive(envelope, now());
        });
    }

    /**
     * Executes a task on the replica thread.
     *
     * @param task the task to execute
     */
    public void execute(Runnable task) {
        inbox.add(task);
    }

    /**
     * Proposes a command.
     *
     * @param command creates the encoded command, on the replica thread
     * @return a future that is completed with the outcome of the proposal
     */
    public CompletableFuture<ProposalResult> propose(Supplier<byte[]> command) {
        CompletableFuture<ProposalResult> outcome = new CompletableFuture<>();
        inbox.add(() -> {
            OptionalLong index = core.propose(command.get(), now());
            if (index.isEmpty()) {
                outcome.complete(new ProposalResult.NotLeader());
            } else {
                proposals.add(index.getAsLong(), core.term(), outcome);
            }
        });
        return outcome;
    }

    /**
     * Returns the consensus state, which must be used on the replica thread only.
     *
     * @return the consensus state
     */
    public ConsensusCore core() {
        return core;
    }

    /**
     * Returns the identity, host and address of this replica.
     *
     * @return this replica
     */
    public Member self() {
        return self;
    }

    /**
     * Tells processes outside the group where this replica is, if it leads. Processes without a replica cannot find the
     * group by themselves. Must be invoked on the replica thread.
     *
     * @param processes addresses of the processes, host and port; members of the group are skipped
     */
    public void introduceLeader(List<String> processes) {
        if (core.role() != Role.LEADER) {
            return;
        }
        List<String> members = core.membership().members().map(Member::address).toList();
        processes.stream()
                .filter(address -> !members.contains(address))
                .forEach(address -> send(address, new Probe(self.replica(), self)));
    }

    /**
     * Returns the address of the current leader. Must be invoked on the replica thread.
     *
     * @return the address, or an empty string if the leader is unknown
     */
    public String leaderAddress() {
        return core.leader()
                .flatMap(replica -> addresses.find(replica, core.membership()))
                .orElse("");
    }

    private void run() {
        List<Runnable> batch = new ArrayList<>();
        while (running) {
            try {
                Runnable first = inbox.poll(TICK_MS, TimeUnit.MILLISECONDS);
                if (first != null) {
                    batch.add(first);
                    inbox.drainTo(batch, MAX_BATCH_TASKS);
                }
                batch.forEach(Runnable::run);
                batch.clear();
                step();
            } catch (InterruptedException interrupted) {
                running = false;
            } catch (IOException failed) {
                haltOnStorageFailure("storage failed, halting without further acknowledgements", failed);
            }
        }
    }

    /**
     * Advances time and carries out all effects.
     *
     * @throws IOException if the storage fails
     */
    private void step() throws IOException {
        bootstrap.advance(core.isLeaderLost(now()), now());
        missingBootstrapAnswers = bootstrap.missingAnswers();
        reportMembership();
        stepper.step(now(), this::send, (entry, result) -> proposals.onApplied(entry, result, core));
        proposals.settle(core);
    }

    private void reportMembership() {
        Membership membership = core.membership();
        if (!membership.equals(loggedMembership)) {
            loggedMembership = membership;
            LOGGER.info("replica: voters {}, learners {}", hosts(membership.voters()), hosts(membership.learners()));
        }
    }

    private static List<HostName> hosts(List<Member> members) {
        return members.stream().map(Member::host).toList();
    }

    private void handleMessage(ReplicaMessage message) {
        if (message instanceof Probe probe) {
            bootstrap.handleProbe(probe);
        } else if (message instanceof ProbeReply reply) {
            bootstrap.handleProbeReply(reply);
        } else if (message instanceof NoReplica reply) {
            bootstrap.handleNoReplica(reply);
        } else if (message instanceof FounderReply reply) {
            bootstrap.handleFounderReply(reply);
        } else if (message instanceof Formation formation) {
            bootstrap.handleFormation(formation);
        } else if (message instanceof JoinRequest join) {
            handleJoinRequest(join);
        }
    }

    /**
     * Handles a join request as the leader, or forwards it to the leader.
     *
     * @param request the join request
     */
    private void handleJoinRequest(JoinRequest request) {
        String leader = leaderAddress();
        if (core.role() == Role.LEADER) {
            core.handleJoin(request, now());
        } else if (!leader.isEmpty()) {
            send(leader, request);
        }
    }

    /**
     * Starts as an initial member of a new group.
     *
     * @param snapshot the bootstrap snapshot
     */
    private void installBootstrapSnapshot(Snapshot snapshot) {
        try {
            store.install(snapshot);
            initialize(store.load(settings.host(), permittedFoundingPeers()));
        } catch (IOException failed) {
            haltOnStorageFailure("storage failed during the group bootstrap", failed);
        }
    }

    /**
     * Sends a consensus message. It is dropped if the receiver is not in the current membership and has sent nothing.
     *
     * @param outgoing the message and the identity of its receiver
     */
    private void send(OutgoingMessage outgoing) {
        Envelope envelope = new Envelope(outgoing.to(), outgoing.message(), settings.address());
        addresses.find(outgoing.to(), core.membership()).ifPresent(address -> send(address, envelope));
    }

    /**
     * Sends a message. It is dropped if no connection can be established.
     *
     * @param address the address of the receiver
     * @param message the message to send
     */
    private void send(String address, Message message) {
        Link link = links.computeIfAbsent(address, added -> new Link(network, added, status -> {}));
        // Messages are sent once the connection is open: a dropped first vote would cost a whole election round.
        link.connect().thenAccept(connection -> connection.send(message));
    }

    /**
     * Halts the process after a storage failure, so that nothing more is acknowledged.
     *
     * @param description the operation that failed
     * @param cause the failure
     */
    private static void haltOnStorageFailure(String description, IOException cause) {
        LOGGER.fatal("replica: {}: {}", description, cause.getMessage(), cause);
        LogManager.shutdown();
        Runtime.getRuntime().halt(EXIT_STORAGE_FAILURE);
    }
}
