package org.bamboohatch.control.simulation;

import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;
import org.bamboohatch.kernel.service.Invariant;

import static org.assertj.core.api.Assertions.assertThatThrownBy;

class LedgerSimulationTest {

    @Property(tries = 100, seed = "20261204", shrinking = ShrinkingMode.OFF)
    void keyRunsAtMostOnceAndNotRunIsFinal(@ForAll long seed) {
        new LedgerSimulation(seed, false).run(1_500);
    }

    @Example
    void checksDetectLedgerThatEvictsTooEarly() {
        assertThatThrownBy(() -> {
                    for (long seed = 1; seed <= 50; seed++) {
                        new LedgerSimulation(seed, true).run(1_500);
                    }
                })
                .isInstanceOf(Invariant.Violation.class);
    }
}
