package org.bamboohatch.replication.simulation;

import java.io.IOException;

/** Simulates clusters with consecutive seeds for a given time; started by {@code bin/prove consensus}. */
public final class ConsensusProof {

    private ConsensusProof() {}

    /** Arguments: the first seed and the duration in seconds. */
    public static void main(String[] arguments) throws IOException {
        long seed = Long.parseLong(arguments[0]);
        long deadline = System.nanoTime() + Long.parseLong(arguments[1]) * 1_000_000_000L;
        int runs = 0;
        String lastSummary = "";
        while (System.nanoTime() < deadline) {
            SimulatedCluster cluster = new SimulatedCluster(seed + runs, (seed + runs) % 3 == 0 ? 5 : 3);
            try {
                cluster.run(3_000);
            } catch (AssertionError | RuntimeException broken) {
                System.out.println("FAILED with seed " + (seed + runs) + ": " + broken.getMessage());
                throw broken;
            }
            runs++;
            lastSummary = cluster.summary();
        }
        System.out.println(
                runs + " runs passed, seeds " + seed + " to " + (seed + runs - 1) + "; the last: " + lastSummary);
    }
}
