package org.bamboohatch.document.fleet;

import java.util.List;

import org.bamboohatch.kernel.id.ServiceName;

/**
 * Where requests of a host and a path go.
 *
 * @param name name of the route
 * @param host host that requests name, in lower case
 * @param pathPrefix prefix of the paths, with a slash at both ends
 * @param kind whether requests may be repeated
 * @param timeoutMillis longest time in which a request is answered, in milliseconds
 * @param targetLatencyMillis time in which an answer, or the first event of one, is of full value, in milliseconds
 * @param priority rank of the requests, zero for the most urgent
 * @param split the services and their parts
 * @param maximumAttempts targets that one request may be sent to
 * @param allowsAnonymous whether requests need no key
 * @param resumable whether a stream may go on at another target
 * @param maximumInterTokenMillis longest pause between two events of a timely stream, in milliseconds, zero if not limited
 */
public record Route(
        String name,
        String host,
        String pathPrefix,
        RouteKind kind,
        long timeoutMillis,
        long targetLatencyMillis,
        int priority,
        List<WeightedService> split,
        int maximumAttempts,
        boolean allowsAnonymous,
        boolean resumable,
        long maximumInterTokenMillis) {

    /** Makes the list immutable. */
    public Route {
        split = List.copyOf(split);
    }

    /**
     * Tells whether a request that may have run may be sent again.
     *
     * @return whether it may
     */
    public boolean mayRepeat() {
        return kind.mayRepeat(resumable);
    }

    /**
     * Chooses the service of a request.
     *
     * @param hash evenly spread hash of the request
     * @return the service
     */
    public ServiceName serviceFor(long hash) {
        long total = totalWeight();
        long position = Math.floorMod(hash, total);
        for (WeightedService part : split) {
            position -= part.weight();
            if (position < 0) {
                return part.service();
            }
        }
        throw new IllegalStateException("weights of route " + name + " changed");
    }

    /**
     * Adds up the weights.
     *
     * @return the sum
     */
    long totalWeight() {
        return split.stream().mapToLong(WeightedService::weight).sum();
    }
}
