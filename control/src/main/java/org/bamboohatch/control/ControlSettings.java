package org.bamboohatch.control;

import java.util.List;

import org.bamboohatch.kernel.id.HostName;
import org.bamboohatch.kernel.id.ZoneName;
import org.bamboohatch.kernel.settings.Setting;

/**
 * Settings of a control process.
 *
 * @param host name of the host
 * @param zone availability zone of the host
 * @param listen address on which the process listens for the other processes, as IP:port
 * @param advertise address that the process advertises to the others, as IP:port; empty for the one it listens on
 * @param http address of the HTTP server for health and metrics, as IP:port; empty for none
 * @param dataFolder folder of the durable state; empty if the host has no disk, which makes the process redirect requests
 * @param peers addresses of the control processes that bootstrap the replication group, including this one
 * @param replaces host whose replica this one replaces; empty for the host of this process
 * @param mayFound whether the processes may bootstrap a group if all their data folders are empty
 * @param voters desired number of voters; zero for the current number, rounded up to an odd one
 * @param snapshotEntries number of log entries after which a snapshot is taken
 * @param retentionHours time in hours for which the answer of a run is retained after its last use
 * @param zones all availability zones, of which each may be evacuated; empty to accept any name
 */
public record ControlSettings(
        @Setting(description = "name of the host") HostName host,

        @Setting(description = "availability zone of the host")
        ZoneName zone,

        @Setting(description = "address to listen on for other processes, as IP:port")
        String listen,

        @Setting(
                description =
                        "address that is advertised to other processes, as IP:port; empty for the value of listen",
                fallback = "\"\"")
        String advertise,

        @Setting(
                description = "address to listen on for health checks and metrics, as IP:port; empty for none",
                fallback = "\"\"")
        String http,

        @Setting(
                description =
                        "folder with the durable state; empty if the host has no disk, which makes the process redirect requests to the leader")
        String dataFolder,

        @Setting(
                description =
                        "addresses of the control processes that bootstrap the replication group, including this one")
        List<String> peers,

        @Setting(
                description = "host whose replica this one replaces; empty for the host of this process",
                fallback = "\"\"")
        String replaces,

        @Setting(
                description =
                        "whether the processes may bootstrap a replication group if all their data folders are empty",
                fallback = "true")
        boolean mayFound,

        @Setting(
                description = "desired number of voters; zero for the current number, rounded up to an odd one",
                unit = "processes",
                min = 0,
                max = 9,
                fallback = "0")
        int voters,

        @Setting(
                description = "number of log entries after which a snapshot is taken",
                unit = "entries",
                min = 10,
                max = 1_000_000,
                fallback = "10000")
        int snapshotEntries,

        @Setting(
                description = "time for which the answer of a run is kept after its last use",
                unit = "hours",
                min = 1,
                max = 720,
                fallback = "24")
        int retentionHours,

        @Setting(
                description = "all availability zones, of which each may be evacuated; empty to accept any name",
                fallback = "[]")
        List<ZoneName> zones) {

    /** Copies the lists, so that the settings are immutable. */
    public ControlSettings {
        peers = List.copyOf(peers);
        zones = List.copyOf(zones);
    }

    /**
     * Returns the address that this process advertises to the others.
     *
     * @return IP and port, separated by a colon
     */
    public String advertisedAddress() {
        return advertise.isEmpty() ? listen : advertise;
    }
}
