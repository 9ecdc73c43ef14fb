package org.bamboohatch.document.fleet;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;

import org.bamboohatch.kernel.id.ServiceName;

/**
 * Everything that gateways need to know of the routes, services and client accounts of an installation. It changes as
 * a whole: the configuration with the highest version is in force.
 *
 * @param version version, chosen by the author
 * @param routes the routes
 * @param services the services
 * @param limits what callers may send
 * @param accounts the client accounts; if there is none, requests need no key
 */
public record FleetConfiguration(
        long version,
        List<Route> routes,
        List<FleetService> services,
        CallerLimits limits,
        List<FleetAccount> accounts) {

    /** Makes the lists immutable. */
    public FleetConfiguration {
        routes = List.copyOf(routes);
        services = List.copyOf(services);
        accounts = List.copyOf(accounts);
    }

    /**
     * Finds what contradicts itself.
     *
     * @return one sentence for each error, empty for a valid configuration
     */
    public List<String> problems() {
        List<String> problems = new ArrayList<>();
        Set<ServiceName> known = services.stream().map(FleetService::name).collect(Collectors.toSet());
        Set<String> places = new HashSet<>();
        for (Route route : routes) {
            checkRoute(route, known, problems);
            if (!places.add(route.host() + route.pathPrefix())) {
                problems.add("route " + route.name() + ": another route has the same host and path prefix");
            }
        }
        Set<String> keys = new HashSet<>();
        for (FleetAccount account : accounts) {
            for (String key : new HashSet<>(account.keys())) {
                if (!keys.add(key)) {
                    problems.add("account " + account.name() + ": another account has one of its keys");
                }
            }
        }
        return problems;
    }

    /**
     * Finds the errors of a route.
     *
     * @param route the route
     * @param known the services
     * @param problems takes the errors
     */
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
