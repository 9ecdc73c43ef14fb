package org.bamboohatch.replication.simulation;

import java.io.IOException;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against a group that loses acknowledged entries, or never elects a leader again, when as many disks as it tolerates
 * are lost while all other hosts lose power.
 */
class LostDisksTest {

    private static final int FOUNDERS = 3;

    private static final int HOSTS = 6;

    private static final int TOLERATED = 2;

    private static final int LOSSES = 4;

    private static final long RECOVERY_MS = 12_000;

    /** Time after which the next loss may follow, in milliseconds. */
    private static final long CATCH_UP_MS = 6_000;

    @Property(tries = 60, seed = "20261207", shrinking = ShrinkingMode.OFF)
    void aGroupGrownFromItsFoundersSurvivesTheLossOfAsManyDisksAsItTolerates(
            @ForAll long seed, @ForAll boolean powerLoss) throws IOException {
        Random random = new Random(seed);
        SimulatedCluster cluster = new SimulatedCluster(seed, FOUNDERS, 2 * TOLERATED + 1);
        for (int number = FOUNDERS + 1; number <= HOSTS; number++) {
            cluster.addHost(number);
        }
        cluster.advanceFor(CATCH_UP_MS);
        for (int loss = 0; loss < LOSSES; loss++) {
            assertThat(cluster.commitsWithin(RECOVERY_MS))
                    .as("before loss " + loss)
                    .isTrue();
            List<SimulatedReplica> hosts = new ArrayList<>(cluster.replicas());
            Collections.shuffle(hosts, random);
            if (powerLoss) {
                hosts.forEach(SimulatedReplica::crash);
                for (SimulatedReplica host : hosts.subList(TOLERATED, HOSTS)) {
                    host.start();
                }
            }
            for (SimulatedReplica host : hosts.subList(0, TOLERATED)) {
                cluster.replaceDisk(host);
            }
            assertThat(cluster.commitsWithin(RECOVERY_MS))
                    .as("after loss " + loss)
                    .isTrue();
            cluster.advanceFor(CATCH_UP_MS);
        }
    }
}
