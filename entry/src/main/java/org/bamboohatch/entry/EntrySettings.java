package org.bamboohatch.entry;

import java.util.List;

import org.bamboohatch.kernel.id.HostName;
import org.bamboohatch.kernel.id.ZoneName;
import org.bamboohatch.kernel.settings.Setting;
import org.bamboohatch.routing.RoutingPolicy;

/**
 * Settings of an entry process.
 *
 * @param host name of the host that the entry runs on
 * @param zone availability zone of the host
 * @param http IP address and port on which callers are served over HTTP
 * @param listen IP address and port on which operators' tools are served
 * @param control addresses of the control processes
 * @param policy routing policy for admission, queueing and target selection
 * @param seed seed of random decisions, or zero for a random seed
 */
public record EntrySettings(
        @Setting(description = "name of the host") HostName host,

        @Setting(description = "availability zone of the host")
        ZoneName zone,

        @Setting(description = "address to listen on for callers, as IP:port")
        String http,

        @Setting(description = "address to listen on for operators' tools, as IP:port")
        String listen,

        @Setting(description = "addresses of the control processes, as IP:port")
        List<String> control,

        @Setting(
                description = "routing policy: fair-predicted, or one of the baselines fifo-turns and fifo-fewest",
                fallback = "fair-predicted")
        RoutingPolicy policy,

        @Setting(
                description = "seed of random decisions; zero for a random seed",
                min = 0,
                max = 9_000_000_000_000_000.0,
                fallback = "0")
        long seed) {

    /** Creates settings with an immutable list of control addresses. */
    public EntrySettings {
        control = List.copyOf(control);
    }
}
