package org.bamboohatch.control.simulation;

/** Runs ledger simulations with successive seeds for a given time; started by {@code bin/prove ledger}. */
public final class LedgerProof {

    private LedgerProof() {}

    /**
     * Runs the program.
     *
     * @param arguments the first seed and the duration in seconds
     */
    public static void main(String[] arguments) {
        long seed = Long.parseLong(arguments[0]);
        long deadline = System.nanoTime() + Long.parseLong(arguments[1]) * 1_000_000_000L;
        int runs = 0;
        String lastSummary = "";
        while (System.nanoTime() < deadline) {
            LedgerSimulation simulation = new LedgerSimulation(seed + runs, false);
            try {
                simulation.run(2_000);
            } catch (AssertionError | RuntimeException broken) {
                System.out.println("FAILED with seed " + (seed + runs) + ": " + broken.getMessage());
                throw broken;
            }
            runs++;
            lastSummary = simulation.summary();
        }
        System.out.println(
                runs + " runs passed, seeds " + seed + " to " + (seed + runs - 1) + "; the last: " + lastSummary);
    }
}
