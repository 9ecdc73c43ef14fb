package org.bamboohatch.entry;

import java.util.List;

import org.bamboohatch.kernel.id.HostName;
import org.bamboohatch.kernel.id.ZoneName;
import org.bamboohatch.kernel.settings.Setting;
import org.bamboohatch.routing.RoutingPolicy;

/**
 * Settings of an entry.
 *
 * @param host name of the host
 * @param zone availability zone of the host
 * @param http address for the callers
 * @param listen address for operators' tools
 * @param control addresses of the control processes
 * @param policy the routing policy
 * @param seed seed of random decisions
 */
public record EntrySettings(
        @Setting(description = "name of the host") HostName host,

        @Setting(description = "availability zone of the host")
        ZoneName zone,

        @Setting(description = "address for the callers, as IP:port")
        String http,

        @Setting(description = "address for operators' tools, as IP:port")
        String listen,

        @Setting(description = "addresses of the control processes")
        List<String> control,

        @Setting(
                description = "fair-predicted, or the baselines fifo-turns and fifo-fewest",
                fallback = "fair-predicted")
        RoutingPolicy policy,

        @Setting(
                description = "seed of random decisions; 0 draws one",
                min = 0,
                max = 9_000_000_000_000_000.0,
                fallback = "0")
        long seed) {

    /** Makes the list immutable. */
    public EntrySettings {
        control = List.copyOf(control);
    }
}
