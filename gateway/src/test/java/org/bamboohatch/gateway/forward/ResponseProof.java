package org.bamboohatch.gateway.forward;

import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;

/** Runs the soak of responses with one seed after the other: {@code ResponseProof SEED SECONDS}. */
public final class ResponseProof {

    private ResponseProof() {}

    /**
     * Runs the soaks and exits with status 1 if any has failed.
     *
     * @param arguments the first seed and the duration in seconds
     * @throws Exception if a soak could not run
     */
    public static void main(String[] arguments) throws Exception {
        long seed = Long.parseLong(arguments[0]);
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(Long.parseLong(arguments[1]));
        int runs = 0;
        int failures = 0;
        Map<String, Integer> outcomes = new TreeMap<>();
        while (System.nanoTime() < end) {
            ResponseSoak soak = new ResponseSoak(seed).run();
            for (String violation : soak.violations()) {
                System.out.println("seed " + seed + ": " + violation);
            }
            failures += soak.violations().isEmpty() ? 0 : 1;
            soak.outcomes().forEach((outcome, count) -> outcomes.merge(outcome, count.get(), Integer::sum));
            runs++;
            seed++;
        }
        System.out.printf("%d runs, %d failed; responses %s%n", runs, failures, outcomes);
        System.exit(failures == 0 ? 0 : 1);
    }
}
