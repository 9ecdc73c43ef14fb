package org.bamboohatch.replication.simulation;

import java.io.IOException;
import java.util.function.Predicate;

import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;
import org.bamboohatch.kernel.id.ReplicaId;
import org.bamboohatch.replication.consensus.Role;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against the loss of the quorum while replicas are replaced one at a time: a replica whose log does not name the
 * leader yet could not answer it, so it never became a voter, and the next planned stop left too few of them.
 */
class ReplacedReplicasTest {

    private static final int SIZE = 3;

    private static final int REPLACEMENTS = 6;

    /** Time that a replacement has to catch up before its predecessor stops, in milliseconds. */
    private static final long CATCH_UP_MS = 4_500;

    private static final long PAUSE_MS = 5_000;

    private static final long RECOVERY_MS = 12_000;

    /** How a replica leaves the group. */
    private enum Loss {
        PLANNED,
        SUDDEN,
        DISK;

        void replace(SimulatedCluster cluster, SimulatedReplica replaced, int number) throws IOException {
            if (this == DISK) {
                cluster.replaceDisk(replaced);
                return;
            }
            if (this == SUDDEN) {
                cluster.removeHost(replaced, false);
            }
            cluster.addHost(number);
            cluster.advanceFor(CATCH_UP_MS);
            if (this == PLANNED) {
                cluster.removeHost(replaced, true);
            }
        }
    }

    @Property(tries = 40, seed = "20261206", shrinking = ShrinkingMode.OFF)
    void replicasReplacedInTurnKeepTheQuorum(
            @ForAll long seed, @ForAll Loss loss, @ForAll boolean fixedNumberOfVoters, @ForAll boolean withCommands)
            throws IOException {
        SimulatedCluster cluster = new SimulatedCluster(seed, SIZE, fixedNumberOfVoters ? SIZE : 0);
        assertThat(cluster.commitsWithin(RECOVERY_MS)).as("at the beginning").isTrue();
        for (int replacement = 0; replacement < REPLACEMENTS; replacement++) {
            int oldest = loss == Loss.DISK ? replacement % SIZE : 0;
            loss.replace(cluster, cluster.replicas().get(oldest), SIZE + 1 + replacement);
            cluster.advanceFor(PAUSE_MS);
            if (withCommands) {
                assertThat(cluster.commitsWithin(RECOVERY_MS))
                        .as("after replacement " + replacement)
                        .isTrue();
            }
        }
        assertThat(cluster.commitsWithin(RECOVERY_MS)).as("at the end").isTrue();
        assertThat(cluster.replicas()).allMatch(isVoter(cluster));
    }

    /** The returning replica holds a log from before the leader was admitted, and is no member any more. */
    @Example
    void aReplicaWithAnOldLogReturnsToALeaderThatItDoesNotKnow() throws IOException {
        SimulatedCluster cluster = new SimulatedCluster(1, SIZE, SIZE);
        assertThat(cluster.commitsWithin(RECOVERY_MS)).isTrue();
        SimulatedReplica returning = cluster.replicas().get(0);
        returning.crash();
        for (int number = SIZE + 1; number <= SIZE + 2; number++) {
            cluster.addHost(number);
            cluster.advanceFor(CATCH_UP_MS);
            cluster.removeHost(cluster.replicas().get(1), true);
            cluster.advanceFor(PAUSE_MS);
        }
        ReplicaId leader = leader(cluster).member.replica();
        returning.start();
        assertThat(returning.core.membership().find(leader)).isEmpty();

        cluster.advanceFor(RECOVERY_MS);

        assertThat(returning.core.membership().find(leader)).isPresent();
        assertThat(returning.core.log().commitIndex())
                .isEqualTo(leader(cluster).core.log().commitIndex());
    }

    private static Predicate<SimulatedReplica> isVoter(SimulatedCluster cluster) {
        return replica -> leader(cluster).core.membership().isVoter(replica.member.replica());
    }

    private static SimulatedReplica leader(SimulatedCluster cluster) {
        return cluster.replicas().stream()
                .filter(replica -> replica.isUp() && replica.core.role() == Role.LEADER)
                .findFirst()
                .orElseThrow();
    }
}
