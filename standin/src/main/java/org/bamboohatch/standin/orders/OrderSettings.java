package org.bamboohatch.standin.orders;

import java.util.List;

import org.bamboohatch.kernel.settings.Setting;

/**
 * Settings of the load driver for non-idempotent orders.
 *
 * @param urls base URLs of the entries
 * @param targets base URLs of the stand-in services, which report how often each order ran
 * @param service name of the service
 * @param key API key of the client account
 * @param seconds time for which orders are sent, in seconds
 * @param rate mean number of orders per second
 * @param timeoutSeconds timeout of each attempt, in seconds
 * @param tries maximum number of attempts per order
 * @param seed seed of the arrival times
 */
public record OrderSettings(
        @Setting(description = "addresses of the entries, as http://IP:port")
        List<String> urls,

        @Setting(description = "addresses of the stand-in services, as http://IP:port")
        List<String> targets,

        @Setting(description = "name of the service", fallback = "portal")
        String service,

        @Setting(description = "API key of the client account", fallback = "demo-key")
        String key,

        @Setting(description = "time for which orders are sent", unit = "seconds", min = 0, max = 86_400)
        double seconds,

        @Setting(description = "orders", unit = "orders a second", min = 0.01, max = 100_000)
        double rate,

        @Setting(description = "timeout of each attempt", unit = "seconds", min = 0.1, max = 600, fallback = "4")
        double timeoutSeconds,

        @Setting(description = "maximum number of attempts per order", min = 1, max = 100, fallback = "6")
        int tries,

        @Setting(description = "seed of the arrival times", min = 0, max = 1e15, fallback = "1")
        long seed) {

    /** Creates settings with immutable lists. */
    public OrderSettings {
        urls = List.copyOf(urls);
        targets = List.copyOf(targets);
    }
}
