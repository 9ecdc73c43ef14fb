package org.bamboohatch.replication.driver;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;

import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;
import org.bamboohatch.kernel.id.HostName;
import org.bamboohatch.kernel.id.ReplicaId;
import org.bamboohatch.replication.message.Member;
import org.bamboohatch.replication.message.ReplicaMessage.FounderReply;
import org.bamboohatch.replication.message.ReplicaMessage.FounderRequest;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against two groups, or none, after a first start whose settings name only processes without a disk. Messages are
 * lost, repeated and delayed, replicas restart, and one of the three voting processes restarts and forgets its votes.
 */
class FounderElectionTest {

    private static final List<String> PEERS = List.of("peer-0", "peer-1", "peer-2");

    private static final int REPLICAS = 4;

    private static final int FAULTY_STEPS = 400;

    private static final int QUIET_STEPS = 4_000;

    /** A request to a peer, or the reply of one, and the replica that is concerned. */
    private record InFlight(int replica, String peer, FounderRequest request, FounderReply reply) {}

    private static final class Fleet {

        private final SplittableRandom random;
        private final Map<String, FounderVotes> voting = new HashMap<>();
        private final List<FounderElection> elections = new ArrayList<>();
        private final List<InFlight> inFlight = new ArrayList<>();
        private final Set<ReplicaId> elected = new HashSet<>();
        private int starts;

        Fleet(long seed) {
            random = new SplittableRandom(seed);
            PEERS.forEach(peer -> voting.put(peer, new FounderVotes(new ReplicaId(peer), peer)));
            for (int number = 0; number < REPLICAS; number++) {
                elections.add(election(number));
            }
        }

        private static Member member(int number) {
            return new Member(new ReplicaId("replica-" + number), new HostName("host-" + number), "address-" + number);
        }

        private FounderElection election(int number) {
            starts++;
            ReplicaId proposer = new ReplicaId("start-" + random.nextInt(10) + "-" + starts);
            return new FounderElection(member(number), PEERS, proposer);
        }

        private void ask(int replica, FounderRequest request) {
            PEERS.forEach(peer -> inFlight.add(new InFlight(replica, peer, request, null)));
        }

        void step(boolean faulty) {
            int choice = random.nextInt(100);
            if (choice < 4 || inFlight.isEmpty()) {
                int replica = random.nextInt(REPLICAS);
                ask(replica, elections.get(replica).begin());
            } else if (faulty && choice < 6) {
                int replica = random.nextInt(REPLICAS);
                elections.set(replica, election(replica));
            } else if (faulty && choice < 7) {
                // Settings do not permit a bootstrap after a restart, so the process votes no more.
                voting.remove(PEERS.get(2));
            } else {
                deliver(faulty);
            }
        }

        private void deliver(boolean faulty) {
            int index = random.nextInt(inFlight.size());
            InFlight message = faulty && random.nextInt(10) == 0 ? inFlight.get(index) : inFlight.remove(index);
            if (faulty && random.nextInt(5) == 0) {
                inFlight.remove(message);
            } else if (message.reply() != null) {
                FounderElection election = elections.get(message.replica());
                election.handle(message.reply()).ifPresent(next -> ask(message.replica(), next));
                election.elected().ifPresent(founder -> elected.add(founder.replica()));
            } else if (voting.containsKey(message.peer())) {
                FounderReply reply = voting.get(message.peer()).vote(message.request());
                inFlight.add(new InFlight(message.replica(), message.peer(), null, reply));
            }
        }
    }

    @Property(tries = 2_000, seed = "20261207", shrinking = ShrinkingMode.OFF)
    void replicasThatDoNotKnowOfEachOtherElectOneFounder(@ForAll long seed) {
        Fleet fleet = new Fleet(seed);
        for (int step = 0; step < FAULTY_STEPS; step++) {
            fleet.step(true);
        }
        for (int step = 0; step < QUIET_STEPS; step++) {
            fleet.step(false);
        }
        assertThat(fleet.elected).hasSize(1);
    }

    @Example
    void aSecondReplicaLearnsOfTheFounderThatWasElectedBefore() {
        Fleet fleet = new Fleet(1);
        fleet.voting.remove(PEERS.get(0));
        // The first attempt of the second replica may have a lower ballot than the one that elected the founder.
        for (int replica : new int[] {0, 1, 1}) {
            fleet.ask(replica, fleet.elections.get(replica).begin());
            while (!fleet.inFlight.isEmpty()) {
                fleet.deliver(false);
            }
        }
        assertThat(fleet.elections.get(1).elected()).contains(Fleet.member(0));
    }

    @Example
    void aMinorityElectsNoFounder() {
        Fleet fleet = new Fleet(1);
        fleet.voting.remove(PEERS.get(0));
        fleet.voting.remove(PEERS.get(1));
        fleet.ask(0, fleet.elections.get(0).begin());
        while (!fleet.inFlight.isEmpty()) {
            fleet.deliver(false);
        }
        assertThat(fleet.elected).isEmpty();
    }
}
