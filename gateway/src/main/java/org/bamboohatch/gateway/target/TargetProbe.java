package org.bamboohatch.gateway.target;

import java.util.function.Consumer;

/** Finds out whether a target still runs. */
@FunctionalInterface
interface TargetProbe {

    /**
     * Probes a target.
     *
     * @param address address of the target
     * @param now current time, in milliseconds
     * @param onResult invoked with {@code false} if it is certain that the target has ended
     */
    void probe(TargetAddress address, long now, Consumer<Boolean> onResult);
}
