package org.bamboohatch.replication.driver;

import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.bamboohatch.kernel.service.Invariant;
import org.bamboohatch.kernel.service.Service;
import org.bamboohatch.protocol.message.Message;
import org.bamboohatch.protocol.transport.Link;
import org.bamboohatch.protocol.transport.Network;
import org.bamboohatch.replication.StateMachine;
import org.bamboohatch.replication.consensus.ConsensusCore;
import org.bamboohatch.replication.consensus.OutgoingMessage;
import org.bamboohatch.replication.consensus.Role;
import org.bamboohatch.replication.message.LogEntry;
import org.bamboohatch.replication.message.Member;
import org.bamboohatch.replication.message.ReplicaMessage;
import org.bamboohatch.replication.message.ReplicaMessage.Envelope;
import org.bamboohatch.replication.message.ReplicaMessage.Formation;
import org.bamboohatch.replication.message.ReplicaMessage.JoinRequest;
import org.bamboohatch.replication.message.ReplicaMessage.Probe;
import org.bamboohatch.replication.message.ReplicaMessage.ProbeReply;
import org.bamboohatch.replication.message.Snapshot;
import org.bamboohatch.replication.storage.LocalDisk;
import org.bamboohatch.replication.storage.LogStore;

/** Drives one replica: one thread takes everything that has arrived, syncs once, then sends and applies. */
public final class ReplicaService implements Service {

    /** Exit status of a process whose storage failed. */
    public static final int EXIT_STORAGE = 74;

    /** Logger of this part. */
    private static final Logger LOGGER = LogManager.getLogger(ReplicaService.class);

    /** Time between two ticks, in milliseconds. */
    private static final long TICK_MS = 20;

    /** Time between two tries to form or join a group, in milliseconds. */
    private static final long FOUNDING_INTERVAL_MS = 300;

    /** Tasks taken in one batch at most. */
    private static final int MAX_BATCH = 4_096;

    /** Nanoseconds in a millisecond. */
    private static final long NANOS_PER_MS = 1_000_000;

    /** The settings. */
    private final ReplicaSettings settings;

    /** The state machine. */
    private final StateMachine machine;

    /** The network threads. */
    private final Network network;

    /** Tasks for the replica's thread. */
    private final LinkedBlockingQueue<Runnable> inbox = new LinkedBlockingQueue<>();

    /** Links to the other replicas by address. */
    private final Map<String, Link> links = new HashMap<>();

    /** Proposals whose entries are not applied, by index. */
    private final TreeMap<Long, Pending> pending = new TreeMap<>();

    /** The replica's thread. */
    private final Thread thread;

    /** Whether the thread goes on. */
    private volatile boolean running = true;

    /** The files. */
    private LocalDisk disk;

    /** The durable state. */
    private LogStore store;

    /** This replica. */
    private Member self;

    /** The consensus. */
    private ConsensusCore core;

    /** Carries out the effects of the consensus. */
    private ReplicaStepper stepper;

    /** How this replica becomes part of a group. */
    private GroupBootstrap founding;

    /** Time of the next try to form or join a group. */
    private long nextFounding;

    /**
     * A proposal whose entry is not applied.
     *
     * @param term the term in which it was proposed
     * @param outcome takes what became of it
     */
    private record Pending(long term, CompletableFuture<ProposalResult> outcome) {}

    /**
     * Creates a replica.
     *
     * @param settings the settings
     * @param machine the state machine
     * @param network the network threads
     */
    public ReplicaService(ReplicaSettings settings, StateMachine machine, Network network) {
        this.settings = settings;
        this.machine = machine;
        this.network = network;
        this.thread = new Thread(Invariant.guard(this::run), "replica");
    }

    /**
     * Returns the present time of the replica's monotonic clock.
     *
     * @return the time in milliseconds
     */
    public static long now() {
        return System.nanoTime() / NANOS_PER_MS;
    }

    @Override
    public void start() {
        try {
            disk = new LocalDisk(settings.dataFolder());
            store = new LogStore(disk);
            LogStore.StoredState loaded = store.load(settings.host());
            self = new Member(loaded.identity().replica(), settings.host(), settings.address());
            begin(loaded);
        } catch (IOException unusable) {
            fail("data folder cannot be used", unusable);
        }
        thread.start();
    }

    /**
     * Begins with the stored state.
     *
     * @param loaded the stored state
     */
    private void begin(LogStore.StoredState loaded) {
        machine.restore(loaded.snapshot().state());
        core = new ConsensusCore(
                self.replica(),
                settings.timing(),
                new java.util.SplittableRandom(self.replica().hashCode()),
                loaded.state(),
                loaded.snapshot(),
                loaded.entries(),
                settings.desiredVoters(),
                now());
        stepper = new ReplicaStepper(core, store, machine, settings.snapshotEntries());
        founding = new GroupBootstrap(self, settings.peers(), settings.mayFound());
        LOGGER.info(
                "replica: {} begins at index {} of term {}",
                self.replica(),
                core.log().lastIndex(),
                core.term());
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
            LOGGER.warn("replica: data folder was not closed cleanly");
        }
        links.values().forEach(Link::close);
    }

    /**
     * Takes a message from another replica that is not part of the consensus.
     *
     * @param message the message
     */
    public void receive(ReplicaMessage message) {
        inbox.add(() -> take(message));
    }

    /**
     * Takes a message of the consensus.
     *
     * @param envelope the message
     */
    public void receive(Envelope envelope) {
        inbox.add(() -> core.receive(envelope, now()));
    }

    /**
     * Runs a task on the replica's thread.
     *
     * @param task the task
     */
    public void execute(Runnable task) {
        inbox.add(task);
    }

    /**
     * Proposes a command.
     *
     * @param command makes the command on the replica's thread
     * @return what became of it
     */
    public CompletableFuture<ProposalResult> propose(Supplier<byte[]> command) {
        CompletableFuture<ProposalResult> outcome = new CompletableFuture<>();
        inbox.add(() -> {
            OptionalLong index = core.propose(command.get(), now());
            if (index.isEmpty()) {
                outcome.complete(new ProposalResult.NotLeader());
            } else {
                pending.put(index.getAsLong(), new Pending(core.term(), outcome));
            }
        });
        return outcome;
    }

    /**
     * Returns the consensus; only for tasks on the replica's thread.
     *
     * @return the consensus
     */
    public ConsensusCore core() {
        return core;
    }

    /**
     * Returns this replica.
     *
     * @return the replica
     */
    public Member self() {
        return self;
    }

    /**
     * Returns the address of the leader; only for tasks on the replica's thread.
     *
     * @return the address, or an empty text if the leader is not known
     */
    public String leaderAddress() {
        return core.leader()
                .flatMap(core.membership()::find)
                .map(Member::address)
                .orElse("");
    }

    /** Works until the replica is stopped. */
    private void run() {
        List<Runnable> batch = new ArrayList<>();
        while (running) {
            try {
                Runnable first = inbox.poll(TICK_MS, TimeUnit.MILLISECONDS);
                if (first != null) {
                    batch.add(first);
                    inbox.drainTo(batch, MAX_BATCH);
                }
                batch.forEach(Runnable::run);
                batch.clear();
                step();
            } catch (InterruptedException interrupted) {
                running = false;
            } catch (IOException failed) {
                fail("storage failed, nothing more is acknowledged", failed);
            }
        }
    }

    /**
     * Lets time pass and carries out the effects.
     *
     * @throws IOException if the storage fails
     */
    private void step() throws IOException {
        if (now() >= nextFounding && core.isLeaderLost(now())) {
            tryFounding();
        }
        stepper.step(now(), this::send, this::tellProposer);
        failLostProposals();
    }

    /**
     * Tells a proposer the result of its command.
     *
     * @param entry the applied entry
     * @param result the result of the state machine
     */
    private void tellProposer(LogEntry entry, Object result) {
        Pending proposal = pending.remove(entry.index());
        if (proposal != null) {
            boolean own = proposal.term() == entry.term();
            proposal.outcome().complete(own ? new ProposalResult.Applied(result) : new ProposalResult.OutcomeUnknown());
        }
    }

    /** Tells proposers whose entries may be lost with leadership. */
    private void failLostProposals() {
        if (core.role() == Role.LEADER
                && (pending.isEmpty() || pending.firstEntry().getValue().term() == core.term())) {
            return;
        }
        for (Iterator<Pending> proposals = pending.values().iterator(); proposals.hasNext(); ) {
            Pending proposal = proposals.next();
            if (core.role() != Role.LEADER || proposal.term() != core.term()) {
                proposals.remove();
                proposal.outcome().complete(new ProposalResult.OutcomeUnknown());
            }
        }
    }

    /**
     * Takes a message on the replica's thread.
     *
     * @param message the message
     */
    private void take(ReplicaMessage message) {
        if (message instanceof Probe probe) {
            boolean formed = core.log().lastIndex() > 0;
            send(probe.member().address(), new ProbeReply(self.replica(), self, formed));
            if (formed
                    && core.membership().isVoter(probe.from())
                    && GroupBootstrap.isFounding(core.log().snapshot())) {
                send(
                        probe.member().address(),
                        new Formation(self.replica(), core.log().snapshot()));
            }
        } else if (message instanceof ProbeReply reply) {
            founding.take(reply);
        } else if (message instanceof Formation formation) {
            if (core.log().lastIndex() == 0 && formation.founding().membership().isVoter(self.replica())) {
                form(formation.founding());
            }
        } else if (message instanceof JoinRequest join) {
            join(join);
        }
    }

    /**
     * Takes a replica in, or passes its request on to the leader.
     *
     * @param request the request
     */
    private void join(JoinRequest request) {
        String leader = leaderAddress();
        if (core.role() == Role.LEADER) {
            core.join(request, now());
        } else if (!leader.isEmpty()) {
            send(leader, request);
        }
    }

    /** Asks the configured hosts for their state; forms a group or asks to be taken in. */
    private void tryFounding() {
        nextFounding = now() + FOUNDING_INTERVAL_MS;
        Set<String> addresses = new LinkedHashSet<>(settings.peers());
        core.membership().members().map(Member::address).forEach(addresses::add);
        for (String peer : addresses) {
            if (!peer.equals(settings.address())) {
                send(peer, new Probe(self.replica(), self));
            }
        }
        for (Member member : founding.formed()) {
            send(member.address(), new JoinRequest(self.replica(), self, settings.replaces()));
        }
        if (core.log().lastIndex() > 0) {
            return;
        }
        founding.foundingSnapshot().ifPresent(snapshot -> {
            LOGGER.info("replica: forms a group of {}", settings.peers());
            snapshot.membership().voters().stream()
                    .filter(member -> !member.equals(self))
                    .forEach(member -> send(member.address(), new Formation(self.replica(), snapshot)));
            form(snapshot);
        });
    }

    /**
     * Begins as a founding member.
     *
     * @param snapshot the snapshot that every founding member begins with
     */
    private void form(Snapshot snapshot) {
        try {
            store.install(snapshot);
            begin(store.load(settings.host()));
        } catch (IOException failed) {
            fail("storage failed while the group was formed", failed);
        }
    }

    /**
     * Sends a message to a replica of the membership.
     *
     * @param outgoing the message and its receiver
     */
    private void send(OutgoingMessage outgoing) {
        core.membership()
                .find(outgoing.to())
                .ifPresent(member -> send(member.address(), new Envelope(outgoing.to(), outgoing.message())));
    }

    /**
     * Sends a message; it is dropped if there is no connection.
     *
     * @param address address of the receiver
     * @param message the message
     */
    private void send(String address, Message message) {
        Link link = links.computeIfAbsent(address, added -> new Link(network, added, status -> {}));
        // What is sent while the connection opens goes out with it: a lost first vote would cost a whole election.
        link.connect().thenAccept(connection -> connection.send(message));
    }

    /**
     * Stops the process after a storage failure.
     *
     * @param sentence what happened
     * @param cause the cause
     */
    private static void fail(String sentence, IOException cause) {
        LOGGER.fatal("replica: {}: {}", sentence, cause.getMessage(), cause);
        LogManager.shutdown();
        Runtime.getRuntime().halt(EXIT_STORAGE);
    }
}
