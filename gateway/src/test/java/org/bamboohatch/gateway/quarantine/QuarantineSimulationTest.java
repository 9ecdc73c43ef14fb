package org.bamboohatch.gateway.quarantine;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;

import static org.assertj.core.api.Assertions.assertThat;

/** The whole fleet finds a part that ends engines in time, and goes on to serve requests with the other parts. */
class QuarantineSimulationTest {

    /** Crashes after which the part must be found. */
    private static final int CRASHES = 5;

    private static final long CONTACT_MS = 3_000;

    /** Requests with the part that may be sent to engines after the time of contact. */
    private static final int LATE_SENDS = 3;

    private static void check(long seed) {
        QuarantineSimulation simulation = new QuarantineSimulation(seed).run();
        if (simulation.crashes.size() >= CRASHES) {
            long found = simulation.crashes.get(CRASHES - 1) + CONTACT_MS;
            assertThat(simulation.badSends.stream().filter(sent -> sent > found).count())
                    .as("late requests with the part, seed %d", seed)
                    .isLessThanOrEqualTo(LATE_SENDS);
        }
        assertThat((double) simulation.soundRefusals.size())
                .as("refused sound requests of %d, seed %d", simulation.soundRequests, seed)
                .isLessThanOrEqualTo(0.01 * simulation.soundRequests);
    }

    @Property(tries = 20, seed = "25")
    void thePartIsFoundInTimeAndSoundRequestsAreServed(@ForAll long seed) {
        check(seed);
    }

    /**
     * Runs many seeds by hand.
     *
     * @param arguments the first seed and the number of seeds
     */
    public static void main(String[] arguments) {
        long first = Long.parseLong(arguments[0]);
        int failures = 0;
        int crashes = 0;
        int refusals = 0;
        int requests = 0;
        int count = Integer.parseInt(arguments[1]);
        for (long seed = first; seed < first + count; seed++) {
            QuarantineSimulation simulation = new QuarantineSimulation(seed).run();
            crashes += simulation.crashes.size();
            refusals += simulation.soundRefusals.size();
            requests += simulation.soundRequests;
            try {
                check(seed);
            } catch (AssertionError failed) {
                failures++;
                System.out.println("seed " + seed + ": " + failed.getMessage().replace('\n', ' '));
            }
        }
        System.out.printf(
                "%d seeds, %d failed; %.1f crashes each; %d of %d sound requests refused%n",
                count, failures, crashes / (double) count, refusals, requests);
    }
}
