package org.bamboohatch.replication.simulation;

import java.io.IOException;
import java.util.List;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;

import static org.assertj.core.api.Assertions.assertThat;

/** Guards against a group that accepts no changes any more after the disks of its hosts were full one after another. */
class FullDisksInTurnTest {

    private static final int FOUNDERS = 3;

    private static final int ROUNDS = 3;

    private static final long FULL_MS = 4_000;

    /** Time from the end of one shortage to the begin of the next, in milliseconds. */
    private static final long PAUSE_MS = 300;

    private static final long RECOVERY_MS = 5_000;

    @Property(tries = 60, seed = "20261208", shrinking = ShrinkingMode.OFF)
    void changesAreAcceptedDuringAndAfterTheShortages(
            @ForAll long seed, @ForAll boolean standbyHosts, @ForAll boolean withCommands) throws IOException {
        SimulatedCluster cluster = new SimulatedCluster(seed, FOUNDERS, standbyHosts ? 2 * FOUNDERS - 1 : FOUNDERS);
        for (int number = FOUNDERS + 1; standbyHosts && number <= 2 * FOUNDERS; number++) {
            cluster.addHost(number);
        }
        assertThat(cluster.commitsWithin(RECOVERY_MS)).as("at the beginning").isTrue();
        cluster.advanceFor(RECOVERY_MS);
        for (int round = 0; round < ROUNDS; round++) {
            for (SimulatedReplica replica : List.copyOf(cluster.replicas())) {
                replica.disk.full = true;
                if (withCommands) {
                    assertThat(cluster.commitsWithin(FULL_MS))
                            .as("while one disk is full")
                            .isTrue();
                }
                cluster.advanceFor(FULL_MS);
                replica.disk.full = false;
                cluster.advanceFor(PAUSE_MS);
            }
        }
        assertThat(cluster.commitsWithin(RECOVERY_MS))
                .as("after the last shortage")
                .isTrue();
    }
}
