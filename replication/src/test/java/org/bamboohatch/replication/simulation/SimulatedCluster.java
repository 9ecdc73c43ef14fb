package org.bamboohatch.replication.simulation;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.SplittableRandom;

import org.bamboohatch.kernel.id.HostName;
import org.bamboohatch.kernel.id.ReplicaId;
import org.bamboohatch.kernel.id.ZoneName;
import org.bamboohatch.kernel.service.Invariant;
import org.bamboohatch.replication.consensus.OutgoingMessage;
import org.bamboohatch.replication.consensus.Role;
import org.bamboohatch.replication.message.LogEntry;
import org.bamboohatch.replication.message.Member;
import org.bamboohatch.replication.message.Membership;
import org.bamboohatch.replication.message.ReplicaMessage;
import org.bamboohatch.replication.message.ReplicaMessage.Envelope;
import org.bamboohatch.replication.message.ReplicaMessage.JoinRequest;
import org.bamboohatch.replication.message.Snapshot;
import org.bamboohatch.replication.storage.FakeDisk;

/**
 * Simulates replicas on a fake network and fake disks while checking the invariants of the log. A single seed
 * determines delayed, lost and duplicated messages, one-way network cuts, crashes at any disk operation, pauses, full
 * disks and lost disks.
 */
public final class SimulatedCluster {

    /** Hosts are spread over the zones in turn. */
    private static final int ZONES = 3;

    /** Limit of reads that wait for a leadership confirmation. */
    private static final int MAX_READS = 60;

    /** A message that has not been delivered yet. */
    private record InFlightMessage(long arrival, HostName host, ReplicaId to, ReplicaMessage message, HostName from) {}

    /** An acknowledged command. */
    private record Acknowledged(long index, long term) {}

    long now = 10_000;

    private final SplittableRandom random;
    private final List<SimulatedReplica> replicas = new ArrayList<>();
    private final List<InFlightMessage> inFlightMessages = new ArrayList<>();
    private final Set<String> cutLinks = new HashSet<>();
    private final Map<Long, ReplicaId> leaders = new HashMap<>();
    private final Map<Long, LogEntry> committed = new HashMap<>();
    private final Map<Long, String> states = new HashMap<>();
    private final Map<Long, Long> proposals = new HashMap<>();
    private long acknowledgedIndex;

    /** Reads that wait for a leadership confirmation. */
    private final List<Read> reads = new ArrayList<>();

    private long confirmedReads;

    /**
     * A linearizable read. The acknowledged index is the one at the time of the request, which the result must include.
     */
    private record Read(SimulatedReplica replica, long requestedAt, long acknowledged) {}

    private int proposedCommands;
    private int lostDisks;
    private int crashes;

    /** Number of voters that leaders restore, or zero for the current number rounded up to an odd one. */
    final int desiredVoters;

    public SimulatedCluster(long seed, int size) throws IOException {
        this(seed, size, 0);
    }

    SimulatedCluster(long seed, int size, int desiredVoters) throws IOException {
        this.desiredVoters = desiredVoters;
        random = new SplittableRandom(seed);
        for (int number = 1; number <= size; number++) {
            createReplica(number, zoneOf(number));
        }
        for (SimulatedReplica replica : replicas) {
            replica.initializeStore(null);
        }
        List<Member> members = replicas.stream().map(replica -> replica.member).toList();
        Snapshot bootstrap = new Snapshot(1, 0, new Membership(members, List.of()), new byte[0]);
        for (SimulatedReplica replica : replicas) {
            replica.initializeStore(bootstrap);
            replica.start();
        }
    }

    private static ZoneName zoneOf(int number) {
        return new ZoneName("zone-" + number % ZONES);
    }

    private SimulatedReplica createReplica(int number, ZoneName zone) {
        double rate = 0.97 + random.nextDouble() * 0.06;
        SimulatedReplica replica = new SimulatedReplica(this, "host-" + number, zone, rate, random.split());
        replicas.add(replica);
        return replica;
    }

    /** Returns the running replicas, the one that was added first in front. */
    List<SimulatedReplica> replicas() {
        return List.copyOf(replicas);
    }

    /** Starts a replica on a new host with an empty disk, which asks to join. */
    SimulatedReplica addHost(int number) throws IOException {
        return addHost(number, zoneOf(number));
    }

    /** Starts a replica on a new host with an empty disk in a given zone, which asks to join. */
    SimulatedReplica addHost(int number, ZoneName zone) throws IOException {
        SimulatedReplica added = createReplica(number, zone);
        added.start();
        return added;
    }

    /** Ends a replica for good, after it has handed leadership and its vote over if that is planned. */
    void removeHost(SimulatedReplica removed, boolean planned) {
        if (planned) {
            leave(removed);
        }
        replicas.remove(removed);
    }

    /** Prepares the planned stop of a replica, with the timeout of the driver. */
    void leave(SimulatedReplica leaving) {
        leaving.core.leave(leaving.now());
        for (int round = 0; round < 200 && !leaving.core.hasLeft(); round++) {
            advance(10);
            leaving.core.leave(leaving.now());
        }
    }

    /** Replaces the disk of a replica by an empty one. */
    void replaceDisk(SimulatedReplica replica) throws IOException {
        replica.crash();
        replica.disk = new FakeDisk();
        replica.start();
    }

    void advanceFor(long millis) {
        for (long end = now + millis; now < end; ) {
            advance(10);
        }
    }

    /** Proposes commands until one is committed. */
    boolean commitsWithin(long millis) {
        long before = acknowledgedIndex;
        for (long end = now + millis; now < end && acknowledgedIndex == before; ) {
            replicas.forEach(this::propose);
            advanceFor(200);
        }
        return acknowledgedIndex > before;
    }

    /** Makes every disk skip syncs, to show that the checks detect it. */
    public void ignoreSyncs() {
        replicas.forEach(replica -> replica.disk.ignoreSync());
    }

    /** Performs random actions, then repairs all faults and checks that the replicas agree and accept proposals. */
    public void run(int steps) throws IOException {
        for (int step = 0; step < steps; step++) {
            performRandomAction();
            advance(random.nextInt(1, 15));
        }
        repairAndVerify();
    }

    public String summary() {
        return proposedCommands + " commands, " + committed.size() + " entries applied, " + leaders.size()
                + " terms led, " + crashes + " crashes, " + lostDisks + " disks lost, " + confirmedReads + " reads";
    }

    private void performRandomAction() throws IOException {
        SimulatedReplica replica = replicas.get(random.nextInt(replicas.size()));
        int choice = random.nextInt(10_000);
        if (choice < 2_500) {
            propose(replica);
        } else if (choice < 2_510 && replica.isUp()) {
            crash(replica);
        } else if (choice < 2_525 && replica.isUp()) {
            replica.disk.crashAfter(random.nextInt(6));
        } else if (choice < 2_700 && !replica.isUp()) {
            replica.start();
        } else if (choice < 2_720) {
            cutLinks.add(replica.host + ">" + replicas.get(random.nextInt(replicas.size())).host);
        } else if (choice < 2_730) {
            replicas.forEach(other -> cutLinks.add(replica.host + ">" + other.host));
        } else if (choice < 2_770) {
            cutLinks.clear();
        } else if (choice < 2_780) {
            replica.paused = true;
        } else if (choice < 2_900) {
            replica.paused = false;
            replica.disk.full = false;
        } else if (choice < 2_910) {
            loseDisk(replica);
        } else if (choice < 2_940) {
            replica.disk.full = true;
        } else if (choice < 3_040) {
            replica.disk.full = false;
        } else if (choice < 3_080 && replica.isUp() && !replica.paused) {
            replica.core.transferLeadership(replica.now());
        }
    }

    private void propose(SimulatedReplica replica) {
        if (replica.isUp() && !replica.paused) {
            byte[] command = ("c" + proposedCommands).getBytes(StandardCharsets.UTF_8);
            OptionalLong index = replica.core.propose(command, replica.now());
            if (index.isPresent()) {
                proposedCommands++;
                proposals.put(index.getAsLong(), replica.core.term());
            }
        }
    }

    private void crash(SimulatedReplica replica) {
        crashes++;
        replica.crash();
    }

    /** Loses a disk, unless the replacement of a voter lost earlier is still in progress. */
    private void loseDisk(SimulatedReplica replica) throws IOException {
        boolean repaired = replicas.stream()
                .filter(SimulatedReplica::isUp)
                .filter(other -> other.core.role() == Role.LEADER)
                .anyMatch(leader ->
                        leader.core.log().commitIndex() == leader.core.log().lastIndex()
                                && leader.core.membership().voters().size() == replicas.size()
                                && leader.core.membership().voters().stream().allMatch(this::isCurrentIdentity));
        if (repaired) {
            lostDisks++;
            replaceDisk(replica);
        }
    }

    private boolean isCurrentIdentity(Member voter) {
        return replicas.stream().anyMatch(replica -> replica.member.equals(voter.withAdmission(0)));
    }

    private void advance(long millis) {
        now += millis;
        for (SimulatedReplica replica : replicas) {
            if (replica.isUp() && !replica.paused) {
                deliverMessages(replica);
                requestJoin(replica);
                checkReads(replica);
                replica.step();
                if (replica.isUp()) {
                    checkReplica(replica);
                } else {
                    crashes++;
                }
            }
        }
    }

    private void deliverMessages(SimulatedReplica replica) {
        List<InFlightMessage> due = inFlightMessages.stream()
                .filter(inFlight -> inFlight.arrival <= now && inFlight.host.equals(replica.host))
                .toList();
        inFlightMessages.removeAll(due);
        for (InFlightMessage inFlight : due) {
            if (inFlight.message instanceof JoinRequest request) {
                replica.core.handleJoin(request, replica.now());
            } else {
                Envelope envelope = new Envelope(inFlight.to, inFlight.message, inFlight.from.value());
                replica.addresses.recordSender(envelope);
                replica.core.receive(envelope, replica.now());
            }
        }
    }

    private void requestJoin(SimulatedReplica replica) {
        if (replica.core.isLeaderLost(replica.now()) && random.nextInt(20) == 0) {
            for (SimulatedReplica other : replicas) {
                if (other.isUp()) {
                    inFlightMessages.add(new InFlightMessage(
                            now + 5,
                            other.host,
                            other.member.replica(),
                            new JoinRequest(
                                    replica.member.replica(),
                                    replica.member,
                                    replica.host,
                                    replica.core.log().lastIndex() > 0),
                            replica.host));
                }
            }
        }
    }

    /** Sends a message to the address that the sender knows for the receiver, and drops it if it knows none. */
    void send(SimulatedReplica from, OutgoingMessage outgoing) {
        Optional<HostName> host =
                from.addresses.find(outgoing.to(), from.core.membership()).map(HostName::new);
        int copies = random.nextInt(100) < 2 ? 2 : 1;
        for (int copy = 0; copy < copies; copy++) {
            boolean lost = random.nextInt(100) < 4 || host.isEmpty() || cutLinks.contains(from.host + ">" + host.get());
            if (!lost) {
                long delay = random.nextInt(100) < 5 ? random.nextInt(400) : random.nextInt(1, 12);
                inFlightMessages.add(
                        new InFlightMessage(now + delay, host.get(), outgoing.to(), outgoing.message(), from.host));
            }
        }
    }

    private void checkReplica(SimulatedReplica replica) {
        if (replica.core.role() == Role.LEADER) {
            ReplicaId known = leaders.putIfAbsent(replica.core.term(), replica.member.replica());
            Invariant.check(
                    known == null || known.equals(replica.member.replica()),
                    () -> "two leaders in term " + replica.core.term());
        }
        checkReads(replica);
    }

    /**
     * Answers confirmed reads, also between messages and the application of what they commit. They must include every entry
     * that was acknowledged when the read was requested.
     */
    private void checkReads(SimulatedReplica replica) {
        long now = replica.now();
        reads.removeIf(read -> {
            boolean answered =
                    read.replica() == replica && replica.core.isLeadershipConfirmedSince(read.requestedAt(), now);
            if (answered) {
                confirmedReads++;
                Invariant.check(
                        replica.core.log().appliedIndex() >= read.acknowledged(),
                        () -> "a read misses the acknowledged entry " + read.acknowledged());
            }
            return answered;
        });
        if (replica.core.role() == Role.LEADER && reads.size() < MAX_READS) {
            reads.add(new Read(replica, now, acknowledgedIndex));
        } else if (reads.size() == MAX_READS) {
            reads.remove(0);
        }
    }

    void checkState(long index, String state) {
        String known = states.putIfAbsent(index, state);
        Invariant.check(known == null || known.equals(state), () -> "states differ after entry " + index);
    }

    void onApplied(SimulatedReplica replica, LogEntry entry) {
        LogEntry known = committed.putIfAbsent(entry.index(), entry);
        Invariant.check(
                known == null || known.term() == entry.term() && java.util.Arrays.equals(known.data(), entry.data()),
                () -> "two entries are committed at index " + entry.index());
        boolean proposer = replica.core.role() == Role.LEADER && replica.core.term() == entry.term();
        if (proposer && proposals.getOrDefault(entry.index(), -1L) == entry.term()) {
            acknowledgedIndex = Math.max(acknowledgedIndex, entry.index());
        }
    }

    private String describeReplicas() {
        StringBuilder text = new StringBuilder();
        for (SimulatedReplica replica : replicas) {
            text.append('\n').append(replica.member.replica());
            text.append(" up ").append(replica.isUp());
            if (replica.isUp()) {
                text.append(' ').append(replica.core.role()).append(" term ").append(replica.core.term());
                text.append(" last ").append(replica.core.log().lastIndex()).append(" commit ");
                text.append(replica.core.log().commitIndex()).append(" voters ");
                replica.core.membership().voters().forEach(voter -> text.append(voter.replica())
                        .append(' '));
                text.append("learners ");
                replica.core.membership().learners().forEach(other -> text.append(other.replica())
                        .append(' '));
            }
        }
        return text.toString();
    }

    private void repairAndVerify() throws IOException {
        cutLinks.clear();
        for (SimulatedReplica replica : replicas) {
            replica.paused = false;
            replica.disk.full = false;
            if (!replica.isUp()) {
                replica.disk.crashAfter(-1);
                replica.start();
            }
            replica.disk.crashAfter(-1);
        }
        for (int round = 0; round < 2_000; round++) {
            advance(10);
            for (SimulatedReplica replica : replicas) {
                if (!replica.isUp()) {
                    replica.start();
                }
            }
        }
        int before = proposedCommands;
        replicas.forEach(this::propose);
        for (int round = 0; round < 300; round++) {
            advance(10);
        }
        Invariant.check(
                proposedCommands > before, () -> "no leader after all faults were repaired: " + describeReplicas());
        long last = replicas.stream()
                .mapToLong(replica -> replica.core.log().appliedIndex())
                .max()
                .orElseThrow();
        Invariant.check(last >= acknowledgedIndex, () -> "an acknowledged entry is missing");
        for (SimulatedReplica replica : replicas) {
            Invariant.check(
                    replica.core.membership().isVoter(replica.member.replica())
                            && replica.core.log().appliedIndex() == last,
                    () -> replica.host + " did not catch up: "
                            + replica.core.log().appliedIndex() + " of " + last + ", " + describeReplicas());
        }
    }
}
