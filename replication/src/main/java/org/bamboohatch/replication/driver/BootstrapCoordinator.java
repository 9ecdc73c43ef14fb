package org.bamboohatch.replication.driver;

import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ThreadLocalRandom;
import java.util.function.BiConsumer;
import java.util.function.Consumer;

import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.bamboohatch.kernel.id.ReplicaId;
import org.bamboohatch.protocol.message.Message;
import org.bamboohatch.replication.consensus.ConsensusCore;
import org.bamboohatch.replication.message.Member;
import org.bamboohatch.replication.message.Membership;
import org.bamboohatch.replication.message.ReplicaMessage.Formation;
import org.bamboohatch.replication.message.ReplicaMessage.FounderReply;
import org.bamboohatch.replication.message.ReplicaMessage.FounderRequest;
import org.bamboohatch.replication.message.ReplicaMessage.JoinRequest;
import org.bamboohatch.replication.message.ReplicaMessage.NoReplica;
import org.bamboohatch.replication.message.ReplicaMessage.Probe;
import org.bamboohatch.replication.message.ReplicaMessage.ProbeReply;
import org.bamboohatch.replication.message.Snapshot;

/**
 * Finds the group of a replica that has no leader: probes other processes, then asks to join the group or takes part in
 * bootstrapping one. Used on the replica's thread only.
 */
final class BootstrapCoordinator {

    private static final Logger LOGGER = LogManager.getLogger(BootstrapCoordinator.class);

    /** Time between two attempts to bootstrap or join a group. */
    private static final long ATTEMPT_INTERVAL_MS = 300;

    /** Longest time between two attempts to elect a founder; random, so that attempts of several replicas do not collide. */
    private static final long MAX_ELECTION_INTERVAL_MS = 900;

    /** Time without a leader after which the log says what is lacking, and between two such lines. */
    private static final long LEADER_LOSS_REPORT_INTERVAL_MS = 3_000;

    private final ConsensusCore core;

    private final Member self;

    private final ReplicaSettings settings;

    private final PeerAddresses addresses;

    private final BiConsumer<String, Message> sender;

    private final Consumer<Snapshot> installer;

    /** Addresses of the control processes that bootstrap a group. */
    private final List<String> peers;

    private final GroupBootstrap bootstrap;

    private final FounderElection election;

    private long nextAttempt;

    private long nextElection;

    /** Time of the next log line about the missing leader, or zero while there is a leader. */
    private long nextLeaderLossReport;

    /**
     * Creates a coordinator that has not heard from any process.
     *
     * @param core the consensus state of the replica
     * @param self the replica
     * @param settings the settings of the replica
     * @param foundingPeers the peers with which the replica may bootstrap a group, or null if it may not
     * @param addresses the addresses of processes that the replica heard from
     * @param sender sends a message to an address
     * @param installer starts the replica as an initial member of a new group
     */
    BootstrapCoordinator(
            ConsensusCore core,
            Member self,
            ReplicaSettings settings,
            List<String> foundingPeers,
            PeerAddresses addresses,
            BiConsumer<String, Message> sender,
            Consumer<Snapshot> installer) {
        this.core = core;
        this.self = self;
        this.settings = settings;
        this.addresses = addresses;
        this.sender = sender;
        this.installer = installer;
        this.peers = foundingPeers == null ? settings.peers() : foundingPeers;
        this.bootstrap = new GroupBootstrap(self, peers, foundingPeers != null);
        this.election = new FounderElection(self, peers, ReplicaId.random());
    }

    /**
     * Looks for the group if the leader is lost.
     *
     * @param leaderLost whether the replica has been without a leader for too long
     * @param now the current time in milliseconds
     */
    void advance(boolean leaderLost, long now) {
        if (leaderLost && now >= nextAttempt) {
            nextAttempt = now + ATTEMPT_INTERVAL_MS;
            attempt(now);
        }
        reportLeaderLoss(leaderLost, now);
    }

    private void reportLeaderLoss(boolean leaderLost, long now) {
        if (!leaderLost) {
            nextLeaderLossReport = 0;
        } else if (nextLeaderLossReport == 0) {
            nextLeaderLossReport = now + LEADER_LOSS_REPORT_INTERVAL_MS;
        } else if (now >= nextLeaderLossReport) {
            nextLeaderLossReport = now + LEADER_LOSS_REPORT_INTERVAL_MS;
            if (core.log().lastIndex() == 0) {
                LOGGER.warn("replica: there is no group: {}", bootstrap.explainMissingGroup(election.grants()));
            } else {
                LOGGER.warn("replica: there is no leader: {}", bootstrap.summarizeAnswers(core.membership()));
            }
        }
    }

    /**
     * Returns the number of answers that the bootstrap of a group lacks, for the metrics.
     *
     * @return the number of peers that have not answered or not voted, zero if the replica is a member of a group
     */
    int missingAnswers() {
        if (core.log().lastIndex() > 0) {
            return 0;
        }
        int majority = peers.size() / 2 + 1;
        return bootstrap.isFounderElectionDue()
                ? Math.max(0, majority - election.grants())
                : bootstrap.unansweredPeers().size();
    }

    /**
     * Probes the configured peers, known members and other senders, then bootstraps a group or asks to join an existing one.
     *
     * @param now the current time in milliseconds
     */
    private void attempt(long now) {
        Set<String> probed = new LinkedHashSet<>(settings.peers());
        probed.addAll(peers);
        core.membership().members().map(Member::address).forEach(probed::add);
        probed.addAll(addresses.senders());
        bootstrap.referral().ifPresent(probed::add);
        for (String peer : probed) {
            if (!peer.equals(settings.address())) {
                sender.accept(peer, new Probe(self.replica(), self));
            }
        }
        boolean established = settings.bootstrapAllowed() || core.log().lastIndex() > 0;
        JoinRequest join = new JoinRequest(self.replica(), self, settings.replaces(), established);
        bootstrap.formedReplicas().forEach(member -> sender.accept(member.address(), join));
        if (core.log().lastIndex() > 0) {
            return;
        }
        bootstrap.bootstrapSnapshot().ifPresent(this::found);
        if (bootstrap.isFounderElectionDue() && now >= nextElection) {
            nextElection = now + ThreadLocalRandom.current().nextLong(ATTEMPT_INTERVAL_MS, MAX_ELECTION_INTERVAL_MS);
            askPeers(election.begin());
        }
    }

    private void askPeers(FounderRequest request) {
        peers.forEach(peer -> sender.accept(peer, request));
    }

    /**
     * Founds a group, or has its elected founder do so.
     *
     * @param founding the bootstrap snapshot
     */
    private void found(Snapshot founding) {
        List<Member> voters = founding.membership().voters();
        LOGGER.info(
                "replica: bootstrapping a group of {}",
                voters.stream().map(Member::address).toList());
        voters.stream()
                .filter(member -> !member.equals(self))
                .forEach(member -> sender.accept(member.address(), new Formation(self.replica(), founding)));
        if (founding.membership().isVoter(self.replica())) {
            installer.accept(founding);
        }
    }

    void handleProbe(Probe probe) {
        boolean formed = core.log().lastIndex() > 0;
        sender.accept(probe.member().address(), new ProbeReply(self.replica(), self, formed));
        if (formed
                && core.membership().isVoter(probe.from())
                && GroupBootstrap.isBootstrapSnapshot(core.log().snapshot())) {
            sender.accept(
                    probe.member().address(),
                    new Formation(self.replica(), core.log().snapshot()));
        }
    }

    void handleProbeReply(ProbeReply reply) {
        bootstrap.handleProbeReply(reply);
    }

    void handleNoReplica(NoReplica reply) {
        bootstrap.handleNoReplica(reply);
    }

    void handleFounderReply(FounderReply reply) {
        if (core.log().lastIndex() == 0) {
            election.handle(reply).ifPresent(this::askPeers);
            election.elected().map(GroupBootstrap::snapshotOf).ifPresent(this::found);
        }
    }

    void handleFormation(Formation formation) {
        Membership initial = formation.founding().membership();
        if (core.log().lastIndex() == 0 && initial.isVoter(self.replica())) {
            installer.accept(formation.founding());
        }
    }
}
