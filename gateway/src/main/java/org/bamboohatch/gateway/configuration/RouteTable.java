package org.bamboohatch.gateway.configuration;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HexFormat;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;

import org.bamboohatch.document.fleet.CallerLimits;
import org.bamboohatch.document.fleet.FleetAccount;
import org.bamboohatch.document.fleet.FleetConfiguration;
import org.bamboohatch.document.fleet.FleetService;
import org.bamboohatch.document.fleet.Route;
import org.bamboohatch.kernel.id.ServiceName;

/** Immutable lookup table for the routes, services and client accounts of a configuration. */
public final class RouteTable {

    /** Routes by host, those with the longest path prefix first. */
    private final Map<String, List<Route>> routes = new HashMap<>();

    private final Map<ServiceName, FleetService> services = new HashMap<>();

    /** Client accounts by the hash of each of their keys: the duration of a lookup then reveals nothing about a key. */
    private final Map<String, FleetAccount> accounts = new HashMap<>();

    private final FleetConfiguration configuration;

    /**
     * Creates the lookup table of a configuration.
     *
     * @param configuration the configuration, which must be valid
     */
    public RouteTable(FleetConfiguration configuration) {
        this.configuration = configuration;
        for (Route route : configuration.routes()) {
            routes.computeIfAbsent(route.host(), host -> new ArrayList<>()).add(route);
        }
        Comparator<Route> longestFirst = Comparator.comparingInt(
                        (Route route) -> route.pathPrefix().length())
                .reversed();
        routes.values().forEach(list -> list.sort(longestFirst));
        configuration.services().forEach(service -> services.put(service.name(), service));
        configuration.accounts().orElse(List.of()).forEach(account -> account.keys()
                .forEach(key -> accounts.put(hash(key), account)));
    }

    /**
     * Returns the version of the configuration.
     *
     * @return the version, which increases with each configuration
     */
    public long version() {
        return configuration.version();
    }

    /**
     * Returns the size limits and timeouts for callers.
     *
     * @return the limits
     */
    public CallerLimits limits() {
        return configuration.limits();
    }

    /**
     * Indicates whether requests need a key. Routes may exempt their requests.
     *
     * @return whether the configuration names client accounts, even if it names none of them any more
     */
    public boolean needsKeys() {
        return configuration.accounts().isPresent();
    }

    /**
     * Returns the route of a request.
     *
     * @param host value of the {@code Host} header field, with or without a port; not case-sensitive
     * @param path path of the request without the query
     * @return the route of the host with the longest matching path prefix, empty if none matches
     */
    public Optional<Route> route(String host, String path) {
        int colon = host.indexOf(':');
        String name = (colon < 0 ? host : host.substring(0, colon)).toLowerCase(Locale.ROOT);
        return routes.getOrDefault(name, List.of()).stream()
                .filter(route -> path.startsWith(route.pathPrefix()))
                .findFirst();
    }

    /**
     * Returns the service with a given name.
     *
     * @param name name of the service
     * @return the service, empty if the configuration has none of this name
     */
    public Optional<FleetService> service(ServiceName name) {
        return Optional.ofNullable(services.get(name));
    }

    /**
     * Returns the client account of a key.
     *
     * @param key the key, as sent by a caller
     * @return the account, empty if the key is unknown
     */
    public Optional<FleetAccount> account(String key) {
        return Optional.ofNullable(accounts.get(hash(key)));
    }

    private static String hash(String key) {
        try {
            byte[] digest = MessageDigest.getInstance("SHA-256").digest(key.getBytes(StandardCharsets.UTF_8));
            return HexFormat.of().formatHex(digest);
        } catch (NoSuchAlgorithmException impossible) {
            throw new IllegalStateException(impossible);
        }
    }
}
