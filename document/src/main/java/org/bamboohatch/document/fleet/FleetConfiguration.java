package org.bamboohatch.document.fleet;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;

import org.bamboohatch.kernel.id.ServiceName;

/**
 * Routes, services and client accounts of an installation, as used by gateways. It is replaced as a whole: the
 * configuration with the highest version applies.
 *
 * @param version version number, assigned by the author
 * @param routes routes of requests to services
 * @param services services that routes may refer to
 * @param limits limits on the requests and connections of callers
 * @param accounts client accounts, whose keys requests need; empty if requests need no key, unlike an empty list, which
 *     admits no key
 */
public record FleetConfiguration(
        long version,
        List<Route> routes,
        List<FleetService> services,
        CallerLimits limits,
        Optional<List<FleetAccount>> accounts) {

    /** Copies the lists to keep the record immutable. */
    public FleetConfiguration {
        routes = List.copyOf(routes);
        services = List.copyOf(services);
        accounts = accounts.map(List::copyOf);
    }

    /**
     * Validates the configuration as a whole.
     *
     * @return one message for each error, empty if the configuration is valid
     */
    public List<String> problems() {
        List<String> problems = new ArrayList<>();
        Set<ServiceName> known = services.stream().map(FleetService::name).collect(Collectors.toSet());
        Set<String> paths = new HashSet<>();
        for (Route route : routes) {
            checkRoute(route, known, problems);
            if (!paths.add(route.host() + route.pathPrefix())) {
                problems.add("route " + route.name() + ": another route has the same host and path prefix");
            }
        }
        for (FleetService service : services) {
            if (service.coldStartMillis() < 0 || service.coldPerSecond() < 0) {
                problems.add("service " + service.name() + ": the cold time and the cold rate must not be negative");
            }
        }
        Set<String> keys = new HashSet<>();
        for (FleetAccount account : accounts.orElse(List.of())) {
            for (String key : new HashSet<>(account.keys())) {
                if (!keys.add(key)) {
                    problems.add("account " + account.name() + ": another account has one of its keys");
                }
            }
        }
        return problems;
    }

    private static void checkRoute(Route route, Set<ServiceName> known, List<String> problems) {
        for (WeightedService part : route.split()) {
            if (!known.contains(part.service())) {
                problems.add("route " + route.name() + ": unknown service " + part.service());
            }
            if (part.weight() < 0) {
                problems.add("route " + route.name() + ": negative weight of " + part.service());
            }
        }
        if (route.totalWeight() <= 0) {
            problems.add("route " + route.name() + ": the weights add up to nothing");
        }
        if (route.timeoutMillis() <= 0) {
            problems.add("route " + route.name() + ": the timeout must be positive");
        }
        if (!route.pathPrefix().startsWith("/") || !route.pathPrefix().endsWith("/")) {
            problems.add("route " + route.name() + ": the path prefix must begin and end with a slash");
        }
    }
}
