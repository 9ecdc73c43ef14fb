package org.bamboohatch.replication.simulation;

import java.io.IOException;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;
import org.bamboohatch.kernel.id.ZoneName;
import org.bamboohatch.replication.consensus.Role;
import org.bamboohatch.replication.message.Membership;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against a lost learner that takes the place of a lost voter: it looks caught up as long as nothing is committed,
 * and as a voter it makes the quorum larger without answering.
 */
class LostLearnerTest {

    private static final int VOTERS = 3;

    private static final long JOIN_MS = 5_000;

    private static final long SHORT_LOSS_MS = 6_000;

    private static final long LONG_LOSS_MS = 20_000;

    private static SimulatedCluster clusterWithLearner(long seed) throws IOException {
        SimulatedCluster cluster = new SimulatedCluster(seed, VOTERS, VOTERS);
        // In the zone of a voter, it would take the place of that voter.
        cluster.addHost(VOTERS + 1, new ZoneName("zone-of-the-learner"));
        cluster.advanceFor(JOIN_MS);
        assertThat(membership(cluster).learners()).hasSize(1);
        return cluster;
    }

    private static Membership membership(SimulatedCluster cluster) {
        return leader(cluster).core.membership();
    }

    private static SimulatedReplica leader(SimulatedCluster cluster) {
        return cluster.replicas().stream()
                .filter(replica -> replica.isUp() && replica.core.role() == Role.LEADER)
                .findFirst()
                .orElseThrow();
    }

    private static SimulatedReplica learner(SimulatedCluster cluster) {
        return cluster.replicas().get(VOTERS);
    }

    @Property(tries = 20, seed = "20261209", shrinking = ShrinkingMode.OFF)
    void aLostLearnerReplacesNoVoter(@ForAll long seed) throws IOException {
        SimulatedCluster cluster = clusterWithLearner(seed);
        SimulatedReplica lost = cluster.replicas().stream()
                .limit(VOTERS)
                .filter(replica -> replica != leader(cluster))
                .findFirst()
                .orElseThrow();
        learner(cluster).crash();
        lost.crash();
        cluster.advanceFor(SHORT_LOSS_MS);
        assertThat(membership(cluster).voters()).hasSize(VOTERS).contains(lost.member);
    }

    @Property(tries = 20, seed = "20261209", shrinking = ShrinkingMode.OFF)
    void aLearnerThatIsGoneIsRemovedAndOneThatReturnsJoinsAgain(@ForAll long seed) throws IOException {
        SimulatedCluster cluster = clusterWithLearner(seed);
        learner(cluster).crash();
        cluster.advanceFor(LONG_LOSS_MS);
        assertThat(membership(cluster).learners()).isEmpty();
        learner(cluster).start();
        cluster.advanceFor(JOIN_MS);
        assertThat(membership(cluster).learners())
                .extracting(member -> member.withAdmission(0))
                .containsExactly(learner(cluster).member);
    }
}
