package org.bamboohatch.replication.simulation;

import java.io.IOException;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;
import net.jqwik.api.constraints.IntRange;
import org.bamboohatch.replication.consensus.Role;
import org.bamboohatch.replication.message.Member;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against a group that loses its quorum for good when a disk is lost soon after a replica was replaced: the replica
 * that had gone kept its vote although its successor had caught up, so that two of three voters were gone.
 */
class LossAfterReplacementTest {

    private static final int SIZE = 3;

    /** Time after the start of the successor from which the replaced host no longer counts as lost, in milliseconds. */
    private static final int CATCH_UP_MS = 4_000;

    private static final long RECOVERY_MS = 12_000;

    /** The successor starts up to the whole time before its predecessor goes, with or without notice. */
    @Property(tries = 300, seed = "20261207", shrinking = ShrinkingMode.OFF)
    void aDiskMayBeLostOnceASuccessorHasCaughtUp(
            @ForAll long seed,
            @ForAll @IntRange(max = CATCH_UP_MS) int leadMillis,
            @ForAll @IntRange(max = SIZE - 1) int replaced,
            @ForAll @IntRange(min = 1, max = SIZE - 1) int offset,
            @ForAll boolean planned)
            throws IOException {
        SimulatedCluster cluster = new SimulatedCluster(seed, SIZE, SIZE);
        assertThat(cluster.commitsWithin(RECOVERY_MS)).as("at the beginning").isTrue();
        SimulatedReplica predecessor = cluster.replicas().get(replaced);
        SimulatedReplica losingDisk = cluster.replicas().get((replaced + offset) % SIZE);
        long startedAt = cluster.now;
        cluster.addHost(SIZE + 1 + replaced);
        cluster.advanceFor(leadMillis);
        cluster.removeHost(predecessor, planned);
        cluster.advanceFor(Math.max(0, startedAt + CATCH_UP_MS - cluster.now));
        cluster.replaceDisk(losingDisk);
        assertThat(cluster.commitsWithin(RECOVERY_MS)).as("after the loss").isTrue();
    }

    /** Each successor starts while the replacement before it is still under way. */
    @Property(tries = 40, seed = "20261207", shrinking = ShrinkingMode.OFF)
    void allReplicasMayBeReplacedInARow(@ForAll long seed, @ForAll boolean planned) throws IOException {
        SimulatedCluster cluster = new SimulatedCluster(seed, SIZE, SIZE);
        assertThat(cluster.commitsWithin(RECOVERY_MS)).as("at the beginning").isTrue();
        for (int replacement = 0; replacement < 2 * SIZE; replacement++) {
            cluster.addHost(SIZE + 1 + replacement);
            cluster.advanceFor(CATCH_UP_MS);
            cluster.removeHost(cluster.replicas().get(0), planned);
            assertThat(cluster.commitsWithin(RECOVERY_MS))
                    .as("after replacement " + replacement)
                    .isTrue();
        }
    }

    @Property(tries = 40, seed = "20261207", shrinking = ShrinkingMode.OFF)
    void aReplicaThatRestartsAsPlannedCostsNoVote(@ForAll long seed, @ForAll @IntRange(max = SIZE) int restarted)
            throws IOException {
        SimulatedCluster cluster = new SimulatedCluster(seed, SIZE, SIZE);
        cluster.addHost(SIZE + 1);
        cluster.advanceFor(CATCH_UP_MS);
        SimulatedReplica replica = cluster.replicas().get(restarted);
        cluster.leave(replica);
        replica.crash();
        cluster.advanceFor(CATCH_UP_MS);
        assertAllVotersRun(cluster);
        replica.start();
        cluster.advanceFor(CATCH_UP_MS);
        assertAllVotersRun(cluster);
        assertThat(leader(cluster).core.membership().members().map(Member::host))
                .contains(replica.host);
    }

    /** A hand-over would cost the state that the leader keeps in memory. */
    @Property(tries = 20, seed = "20261207", shrinking = ShrinkingMode.OFF)
    void aReplicaThatReturnsAfterALongTimeTakesNoVoteFromItsZone(@ForAll long seed) throws IOException {
        SimulatedCluster cluster = new SimulatedCluster(seed, 2 * SIZE, SIZE + 2);
        cluster.advanceFor(CATCH_UP_MS);
        SimulatedReplica returning = cluster.replicas().stream()
                .filter(replica -> replica != leader(cluster))
                .findFirst()
                .orElseThrow();
        returning.crash();
        cluster.advanceFor(2 * RECOVERY_MS);
        returning.start();
        cluster.advanceFor(RECOVERY_MS);
        assertThat(leader(cluster).core.membership().voters()).allMatch(voter -> voter.admittedAt() == 0);
        assertThat(leader(cluster).core.membership().members())
                .anyMatch(member -> member.replica().equals(returning.member.replica()));
    }

    private static void assertAllVotersRun(SimulatedCluster cluster) {
        assertThat(leader(cluster).core.membership().voters())
                .hasSize(SIZE)
                .allMatch(voter -> cluster.replicas().stream()
                        .anyMatch(replica ->
                                replica.isUp() && replica.member.replica().equals(voter.replica())));
    }

    private static SimulatedReplica leader(SimulatedCluster cluster) {
        return cluster.replicas().stream()
                .filter(replica -> replica.isUp() && replica.core.role() == Role.LEADER)
                .findFirst()
                .orElseThrow();
    }
}
