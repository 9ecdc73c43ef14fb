package org.bamboohatch.replication.simulation;

import java.io.IOException;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;
import org.bamboohatch.kernel.service.Invariant;

import static org.assertj.core.api.Assertions.assertThatThrownBy;

class SimulatedClusterTest {

    @Property(tries = 60, seed = "20261204", shrinking = ShrinkingMode.OFF)
    void threeReplicasPreserveLogInvariants(@ForAll long seed) throws IOException {
        new SimulatedCluster(seed, 3).run(1_500);
    }

    @Property(tries = 20, seed = "20261205", shrinking = ShrinkingMode.OFF)
    void fiveReplicasPreserveLogInvariants(@ForAll long seed) throws IOException {
        new SimulatedCluster(seed, 5).run(1_500);
    }

    /** Seed 182 fails if reads are answered without a quorum's confirmation. */
    @net.jqwik.api.Example
    void readsIncludeEntriesAcknowledgedBefore() throws IOException {
        new SimulatedCluster(182, 3).run(3_000);
    }

    @net.jqwik.api.Example
    void skippedSyncsAreDetected() {
        assertThatThrownBy(() -> {
                    for (long seed = 1; seed <= 40; seed++) {
                        SimulatedCluster cluster = new SimulatedCluster(seed, 3);
                        cluster.ignoreSyncs();
                        cluster.run(1_500);
                    }
                })
                .isInstanceOfAny(Invariant.Violation.class, IOException.class);
    }
}
