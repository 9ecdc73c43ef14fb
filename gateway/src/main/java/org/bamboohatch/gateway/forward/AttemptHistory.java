package org.bamboohatch.gateway.forward;

import java.util.Collections;
import java.util.HashSet;
import java.util.Set;

import org.bamboohatch.kernel.id.TargetName;

/** The attempts made so far for one request. */
final class AttemptHistory {

    /**
     * Number of placements that fail for lack of engine memory before the request is given up. More than one, because
     * load reports lag and the memory may be taken already.
     */
    private static final int MAX_MEMORY_FAILURES = 3;

    /** Targets that are excluded from further placements of the request. */
    private final Set<TargetName> excluded = new HashSet<>();

    /** Number of times that the request was handed to a connection. */
    private int sends;

    /** Number of sends after which the request may have run. */
    private int possibleRuns;

    /** Placements that failed because an engine had no memory for its part. */
    private int memoryFailures;

    void exclude(TargetName target) {
        excluded.add(target);
    }

    Set<TargetName> excluded() {
        return Collections.unmodifiableSet(excluded);
    }

    /** Records that the request was handed to a connection and may therefore run. */
    void recordSend() {
        sends++;
        possibleRuns++;
    }

    /** Records that a target reported that it did not run the request. */
    void recordNotRun() {
        possibleRuns--;
    }

    /**
     * Records that an engine had no memory for its part of the prompt, and excludes the engine.
     *
     * @param target the engine
     * @return whether the request may be placed at other engines
     */
    boolean recordMemoryFailure(TargetName target) {
        exclude(target);
        memoryFailures++;
        return memoryFailures < MAX_MEMORY_FAILURES;
    }

    int sends() {
        return sends;
    }

    boolean mayHaveRun() {
        return possibleRuns > 0;
    }
}
