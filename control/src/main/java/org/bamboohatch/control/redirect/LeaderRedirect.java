package org.bamboohatch.control.redirect;

import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Supplier;

import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.bamboohatch.control.ControlSettings;
import org.bamboohatch.kernel.id.ReplicaId;
import org.bamboohatch.kernel.service.Service;
import org.bamboohatch.protocol.client.ControlClient;
import org.bamboohatch.protocol.message.ControlReply;
import org.bamboohatch.protocol.message.ControlRequest;
import org.bamboohatch.protocol.message.ControlRequest.GetStatus;
import org.bamboohatch.protocol.message.Message;
import org.bamboohatch.protocol.transport.Exchange;
import org.bamboohatch.protocol.transport.Link;
import org.bamboohatch.protocol.transport.Network;
import org.bamboohatch.protocol.transport.RequestHandler;
import org.bamboohatch.replication.driver.FounderVotes;
import org.bamboohatch.replication.message.ReplicaMessage.FounderRequest;
import org.bamboohatch.replication.message.ReplicaMessage.NoReplica;
import org.bamboohatch.replication.message.ReplicaMessage.Probe;

/**
 * Serves a control process on a host without a disk. Such a process holds no replica, because it would forget what it
 * has acknowledged at its next start. It looks for the leader at intervals and names it to clients and to replicas that
 * look for their group.
 */
public final class LeaderRedirect implements RequestHandler, Service {

    private static final Logger LOGGER = LogManager.getLogger(LeaderRedirect.class);

    /** Interval at which the leader is asked for the members of the group. */
    private static final Duration REFRESH_INTERVAL = Duration.ofSeconds(2);

    /** Interval of the attempts while the leader is unknown. */
    private static final Duration SEARCH_INTERVAL = Duration.ofMillis(300);

    private static final Duration STATUS_TIMEOUT = Duration.ofMillis(600);

    private static final String LEADER_ROLE = "LEADER";

    private final ReplicaId identity = ReplicaId.random();

    private final ControlSettings settings;

    private final Network network;

    /** Returns the addresses of control processes in the current settings. */
    private final Supplier<List<String>> seeds;

    private final ControlClient client;

    /** Votes for the founder of a new group. A process that has restarted does not vote, as it has forgotten its votes. */
    private final FounderVotes founderVotes;

    /** Links to the replicas that have sent probes, by address. */
    private final Map<String, Link> links = new ConcurrentHashMap<>();

    private final AtomicBoolean running = new AtomicBoolean();

    /** Address of the replica that has sent a probe latest, or an empty string. */
    private final AtomicReference<String> introduced = new AtomicReference<>("");

    /** Addresses of the members of the group, as the latest leader named them. */
    private volatile List<String> members = List.of();

    /** Number of voters, as the latest leader named them. */
    private volatile int voters;

    /** Address of the leader, or an empty string if it is unknown. */
    private volatile String leader = "";

    /**
     * Creates a service that does not look for the leader yet.
     *
     * @param settings settings of the control process
     * @param network network threads of the control process
     * @param seeds returns the addresses of control processes in the current settings, which may have changed
     */
    public LeaderRedirect(ControlSettings settings, Network network, Supplier<List<String>> seeds) {
        this.settings = settings;
        this.network = network;
        this.seeds = seeds;
        this.founderVotes = new FounderVotes(identity, settings.advertisedAddress());
        this.client = new ControlClient(network, List.of(settings.advertisedAddress()));
    }

    @Override
    public void start() {
        LOGGER.info("control: this host has no disk, requests are redirected to the leader");
        running.set(true);
        search();
    }

    @Override
    public void stop() {
        running.set(false);
        client.close();
        links.values().forEach(Link::close);
    }

    @Override
    public void handle(Message request, Exchange exchange) {
        if (request instanceof Probe probe) {
            introduced.set(probe.member().address());
            link(probe.member().address())
                    .connect()
                    .thenAccept(connection ->
                            connection.send(new NoReplica(identity, settings.advertisedAddress(), leader)));
        } else if (request instanceof FounderRequest founder) {
            if (settings.mayFound()) {
                link(founder.replyAddress())
                        .connect()
                        .thenAccept(connection -> connection.send(founderVotes.vote(founder)));
            }
        } else if (request instanceof ControlRequest) {
            exchange.end(new ControlReply.NotLeader(leader));
        }
    }

    /**
     * Indicates whether the leader is known; may be called by any thread.
     *
     * @return whether requests can be redirected
     */
    public boolean isReady() {
        return !leader.isEmpty();
    }

    /**
     * Returns the number of voters that the leader has named; may be called by any thread.
     *
     * @return the number, zero if no leader was found yet
     */
    public int voters() {
        return voters;
    }

    /**
     * Asks the known processes, and those that they name, in turn until one leads. The settings are read only while the
     * leader is unknown.
     */
    private void search() {
        Set<String> candidates = new LinkedHashSet<>(List.of(leader, introduced.get()));
        candidates.addAll(members);
        if (leader.isEmpty()) {
            candidates.addAll(seeds.get());
        }
        candidates.remove("");
        candidates.remove(settings.advertisedAddress());
        ask(new ArrayList<>(candidates), 0);
    }

    private void ask(List<String> candidates, int position) {
        if (!running.get()) {
            return;
        }
        if (position == candidates.size()) {
            leader = "";
            network.after(SEARCH_INTERVAL, this::search);
            return;
        }
        String address = candidates.get(position);
        client.callOne(address, new GetStatus(), STATUS_TIMEOUT).whenComplete((reply, failure) -> {
            if (reply instanceof ControlReply.Status status && status.role().equals(LEADER_ROLE)) {
                members = addresses(status);
                voters = status.voters().size();
                leader = address;
                network.after(REFRESH_INTERVAL, this::search);
                return;
            }
            namedBy(reply).stream().filter(named -> !candidates.contains(named)).forEach(candidates::add);
            ask(candidates, position + 1);
        });
    }

    /**
     * Returns the processes that a process which does not lead names: the members it knows, or the leader.
     *
     * @param reply the reply of the process, null if there is none
     * @return addresses, host and port
     */
    private static List<String> namedBy(Message reply) {
        if (reply instanceof ControlReply.Status status) {
            return addresses(status);
        }
        return reply instanceof ControlReply.NotLeader other
                        && !other.leaderAddress().isEmpty()
                ? List.of(other.leaderAddress())
                : List.of();
    }

    /**
     * Returns the addresses of the members, which a status names as host@address.
     *
     * @param status the status of a replica
     * @return addresses, host and port
     */
    private static List<String> addresses(ControlReply.Status status) {
        List<String> members = new ArrayList<>(status.voters());
        members.addAll(status.learners());
        return members.stream()
                .map(member -> member.substring(member.indexOf('@') + 1))
                .toList();
    }

    private Link link(String address) {
        return links.computeIfAbsent(address, added -> new Link(network, added, status -> {}));
    }
}
