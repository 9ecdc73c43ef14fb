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
 * @param listen address for the other processes
 * @param advertise address that the other processes are told, or an empty text for the one listened on
 * @param http address for health and metrics, or an empty text
 * @param dataFolder folder with the durable state
 * @param peers addresses of the founding control processes
 * @param replaces host whose replica this one replaces, or an empty text
 * @param mayFound whether a group may be formed when every founding process has an empty data folder
 * @param voters voting processes to aim at, zero for as many as there are, made odd
 * @param snapshotEntries log entries after which a snapshot is taken
 * @param retentionHours time for which the answer of a run is kept after its last use
 */
public record ControlSettings(
        @Setting(description = "name of the host") HostName host,

        @Setting(description = "availability zone of the host")
        ZoneName zone,

        @Setting(description = "address for the other processes, as IP:port")
        String listen,

        @Setting(
                description = "address that the other processes are told, as IP:port; empty for the one listened on",
                fallback = "\"\"")
        String advertise,

        @Setting(description = "address for health and metrics, as IP:port; empty for none", fallback = "\"\"")
        String http,

        @Setting(description = "folder with the durable state")
        String dataFolder,

        @Setting(description = "addresses of the founding control processes, this one included")
        List<String> peers,

        @Setting(description = "host whose replica this one replaces; empty for the own host", fallback = "\"\"")
        String replaces,

        @Setting(
                description = "whether a group may be formed when every founding process has an empty data folder",
                fallback = "true")
        boolean mayFound,

        @Setting(
                description = "voting processes to aim at; zero for as many as there are, made odd",
                unit = "processes",
                min = 0,
                max = 9,
                fallback = "0")
        int voters,

        @Setting(
                description = "log entries after which a snapshot is taken",
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
        int retentionHours) {

    /** Makes the list immutable. */
    public ControlSettings {
        peers = List.copyOf(peers);
    }

    /**
     * Returns the address under which the others reach this process.
     *
     * @return IP and port
     */
    public String advertisedAddress() {
        return advertise.isEmpty() ? listen : advertise;
    }
}
