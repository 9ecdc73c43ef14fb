package org.bamboohatch.document.fleet;

import java.util.List;

import org.bamboohatch.kernel.id.ServiceName;

/**
 * Route of requests with a given host and path prefix to services.
 *
 * @param name name of the route
 * @param host requested host, in lower case
 * @param pathPrefix path prefix, with a leading and a trailing slash
 * @param kind whether requests may run more than once
 * @param timeoutMillis request timeout, in milliseconds
 * @param targetLatencyMillis time in which a response, or the first event of a stream, has its full value, in
 *     milliseconds
 * @param priority priority of the requests; zero is the most urgent
 * @param split services that receive the requests, with their weights
 * @param maximumAttempts maximum number of targets that a request is sent to
 * @param allowsAnonymous whether requests need no key
 * @param resumable whether a stream may be resumed at another target
 * @param maximumInterTokenMillis maximum time between two events of a stream that is on time, in milliseconds; zero if
 *     not limited
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

    /** Copies the list to keep the record immutable. */
    public Route {
        split = List.copyOf(split);
    }

    /**
     * Indicates whether a request that may have run already may be sent again.
     *
     * @return {@code true} if the request may be repeated
     */
    public boolean mayRepeat() {
        return kind.mayRepeat(resumable);
    }

    /**
     * Selects the service of a request in proportion to the weights.
     *
     * @param hash uniformly distributed hash of the request
     * @return name of the selected service
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
        throw new IllegalStateException("the weights of route " + name + " select no service");
    }

    /** Returns the sum of the weights of all services. */
    long totalWeight() {
        return split.stream().mapToLong(WeightedService::weight).sum();
    }
}
