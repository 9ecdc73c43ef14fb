package org.bamboohatch.agent;

import java.util.List;

import org.bamboohatch.kernel.id.HostName;
import org.bamboohatch.kernel.id.ServiceName;
import org.bamboohatch.kernel.id.TargetName;
import org.bamboohatch.kernel.id.ZoneName;
import org.bamboohatch.kernel.settings.Setting;

/**
 * Settings of an agent.
 *
 * @param host name of the host
 * @param zone availability zone of the host
 * @param listen address for the entries
 * @param advertise address that the entries are told, or an empty text for the one listened on
 * @param target name of the target
 * @param service service that the target belongs to
 * @param driver plug-in that speaks with the target
 * @param targetUrl address of the target
 * @param control addresses of the control processes
 * @param memoryTokens KV memory of an engine
 * @param maximumRuns runs that the target takes at the same time
 */
public record AgentSettings(
        @Setting(description = "name of the host") HostName host,

        @Setting(description = "availability zone of the host")
        ZoneName zone,

        @Setting(description = "address for the entries, as IP:port")
        String listen,

        @Setting(
                description = "address that the entries are told, as IP:port; empty for the one listened on",
                fallback = "\"\"")
        String advertise,

        @Setting(description = "name of the target") TargetName target,

        @Setting(description = "service that the target belongs to")
        ServiceName service,

        @Setting(description = "plug-in that speaks with the target: completions or plain")
        String driver,

        @Setting(description = "address of the target, as http://IP:port")
        String targetUrl,

        @Setting(description = "addresses of the control processes")
        List<String> control,

        @Setting(
                description = "KV memory of an engine",
                unit = "tokens",
                min = 0,
                max = 100_000_000,
                fallback = "400000")
        long memoryTokens,

        @Setting(
                description = "runs that the target takes at the same time",
                unit = "runs",
                min = 1,
                max = 10_000,
                fallback = "64")
        int maximumRuns) {

    /** Makes the list immutable. */
    public AgentSettings {
        control = List.copyOf(control);
    }
}
