package org.bamboohatch.routing.quarantine;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;

import static org.assertj.core.api.Assertions.assertThat;

/** The whole fleet finds a part that ends engines in time, and goes on to serve requests with the other parts. */
class QuarantineSimulationTest {

    @Property(tries = 20, seed = "25")
    void thePartIsFoundInTimeAndSoundRequestsAreServed(@ForAll long seed) {
        assertThat(new QuarantineSimulation(seed).run().violations()).isEmpty();
    }
}
