package org.bamboohatch.routing.quarantine;

import java.util.concurrent.TimeUnit;

/** Runs the simulation of the fleet with one seed after the other: {@code QuarantineProof SEED SECONDS}. */
public final class QuarantineProof {

    private QuarantineProof() {}

    /**
     * Runs the simulations and exits with status 1 if any has failed.
     *
     * @param arguments the first seed and the duration in seconds
     */
    public static void main(String[] arguments) {
        long seed = Long.parseLong(arguments[0]);
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(Long.parseLong(arguments[1]));
        int runs = 0;
        int failures = 0;
        long crashes = 0;
        long refusals = 0;
        long requests = 0;
        while (System.nanoTime() < end) {
            QuarantineSimulation simulation = new QuarantineSimulation(seed).run();
            if (!simulation.violations().isEmpty()) {
                System.out.println("seed " + seed + ": " + simulation.violations());
                failures++;
            }
            crashes += simulation.crashCount();
            refusals += simulation.soundRefusalCount();
            requests += simulation.soundRequestCount();
            runs++;
            seed++;
        }
        System.out.printf(
                "%d runs, %d failed; %d engines ended; %d of %d sound requests refused%n",
                runs, failures, crashes, refusals, requests);
        System.exit(failures == 0 ? 0 : 1);
    }
}
