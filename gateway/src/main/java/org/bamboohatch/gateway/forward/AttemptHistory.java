package org.bamboohatch.gateway.forward;

import java.util.Collections;
import java.util.HashSet;
import java.util.Set;

import org.bamboohatch.kernel.id.TargetName;

/** What was tried so far for one request. */
final class AttemptHistory {

    /** Choices of engines for a prompt that no engine has memory for; the memory is told late, so one may fail. */
    private static final int MEMORY_TRIES = 3;

    /** Targets that the request is not sent to any more. */
    private final Set<TargetName> targets = new HashSet<>();

    /** Requests that were handed to a connection. */
    private int sends;

    /** Requests among them that may have run. */
    private int runs;

    /** Choices that failed because an engine had no memory for its part. */
    private int withoutMemory;

    /**
     * Leaves a target out from now on.
     *
     * @param target the target
     */
    void leaveOut(TargetName target) {
        targets.add(target);
    }

    /**
     * Returns the targets that are left out.
     *
     * @return the targets
     */
    Set<TargetName> leftOut() {
        return Collections.unmodifiableSet(targets);
    }

    /** Takes note that the request was handed to a connection. */
    void sent() {
        sends++;
        runs++;
    }

    /** Takes note that a target did not run the request. */
    void notRun() {
        runs--;
    }

    /**
     * Takes note of an engine that had no memory for its part.
     *
     * @param target the engine
     * @return whether other engines should be chosen
     */
    boolean withoutMemory(TargetName target) {
        leaveOut(target);
        withoutMemory++;
        return withoutMemory < MEMORY_TRIES;
    }

    /**
     * Counts the requests that were handed to a connection.
     *
     * @return their number
     */
    int sends() {
        return sends;
    }

    /**
     * Tells whether a target may have run the request.
     *
     * @return whether one may have
     */
    boolean mayHaveRun() {
        return runs > 0;
    }
}
