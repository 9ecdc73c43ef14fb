package org.bamboohatch.standin.orders;

import java.util.List;

import org.bamboohatch.kernel.settings.Setting;

/**
 * Settings of the driver of non-idempotent orders.
 *
 * @param urls addresses of the entries
 * @param targets addresses of the stand-in services, which are asked how often each order ran
 * @param service name of the service
 * @param key the API key
 * @param seconds time for which orders are sent
 * @param rate orders a second
 * @param timeoutSeconds time of each try
 * @param tries tries of one order at most
 * @param seed seed of the arrivals
 */
public record OrderSettings(
        @Setting(description = "addresses of the entries, as http://IP:port")
        List<String> urls,

        @Setting(description = "addresses of the stand-in services, as http://IP:port")
        List<String> targets,

        @Setting(description = "name of the service", fallback = "portal")
        String service,

        @Setting(description = "the API key", fallback = "demo-key")
        String key,

        @Setting(description = "time for which orders are sent", unit = "seconds", min = 0, max = 86_400)
        double seconds,

        @Setting(description = "orders", unit = "orders a second", min = 0.01, max = 100_000)
        double rate,

        @Setting(description = "time of each try", unit = "seconds", min = 0.1, max = 600, fallback = "4")
        double timeoutSeconds,

        @Setting(description = "tries of one order at most", min = 1, max = 100, fallback = "6")
        int tries,

        @Setting(description = "seed of the arrivals", min = 0, max = 1e15, fallback = "1")
        long seed) {

    /** Makes the lists immutable. */
    public OrderSettings {
        urls = List.copyOf(urls);
        targets = List.copyOf(targets);
    }
}
