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

/** A fleet configuration arranged for look-ups; immutable. */
public final class RouteTable {

    /** The routes by host, the longest prefix first. */
    private final Map<String, List<Route>> routes = new HashMap<>();

    /** The services by name. */
    private final Map<ServiceName, FleetService> services = new HashMap<>();

    /** The client accounts by the hash of each of their keys, which tells nothing by the time that a look-up takes. */
    private final Map<String, FleetAccount> accounts = new HashMap<>();

    /** The configuration. */
    private final FleetConfiguration configuration;

    /**
     * Arranges a configuration.
     *
     * @param configuration the configuration
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
        for (FleetAccount account : configuration.accounts()) {
            account.keys().forEach(key -> accounts.put(hash(key), account));
        }
    }

    /**
     * Returns the version of the configuration.
     *
     * @return the version
     */
    public long version() {
        return configuration.version();
    }

    /**
     * Returns what callers may send.
     *
     * @return the limits
     */
    public CallerLimits limits() {
        return configuration.limits();
    }

    /**
     * Tells whether requests need a key.
     *
     * @return whether there are client accounts
     */
    public boolean needsKeys() {
        return !configuration.accounts().isEmpty();
    }

    /**
     * Finds the route of a request.
     *
     * @param host host that the request names, with or without a port
     * @param path path without the query
     * @return the route with the longest prefix of the path
     */
    public Optional<Route> route(String host, String path) {
        int colon = host.indexOf(':');
        String name = (colon < 0 ? host : host.substring(0, colon)).toLowerCase(Locale.ROOT);
        return routes.getOrDefault(name, List.of()).stream()
                .filter(route -> path.startsWith(route.pathPrefix()))
                .findFirst();
    }

    /**
     * Finds a service.
     *
     * @param name its name
     * @return the service
     */
    public Optional<FleetService> service(ServiceName name) {
        return Optional.ofNullable(services.get(name));
    }

    /**
     * Finds the client account of a key.
     *
     * @param key the key
     * @return the account
     */
    public Optional<FleetAccount> account(String key) {
        return Optional.ofNullable(accounts.get(hash(key)));
    }

    /**
     * Hashes a key.
     *
     * @param key the key
     * @return the hash
     */
    private static String hash(String key) {
        try {
            byte[] digest = MessageDigest.getInstance("SHA-256").digest(key.getBytes(StandardCharsets.UTF_8));
            return HexFormat.of().formatHex(digest);
        } catch (NoSuchAlgorithmException impossible) {
            throw new IllegalStateException(impossible);
        }
    }
}
