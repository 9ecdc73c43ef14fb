package org.bamboohatch.agent;

import java.util.List;

import org.bamboohatch.kernel.id.HostName;
import org.bamboohatch.kernel.id.ServiceName;
import org.bamboohatch.kernel.id.TargetName;
import org.bamboohatch.kernel.id.ZoneName;
import org.bamboohatch.kernel.settings.Setting;

/**
 * Settings of an agent process.
 *
 * @param host name of the host that the agent and its target run on
 * @param zone availability zone of the host
 * @param listen IP address and port on which entries are served
 * @param advertise IP address and port that are announced to entries, or an empty string for those of {@code listen}
 * @param target name of the target, unique among all targets
 * @param service name of the service that the target belongs to
 * @param driver name of the plug-in that communicates with the target
 * @param targetUrl base URL of the target
 * @param control addresses of the control processes, host and port
 * @param memoryTokens KV memory of an engine, in tokens
 * @param maximumRuns maximum number of concurrent runs at the target
 */
public record AgentSettings(
        @Setting(description = "name of the host") HostName host,

        @Setting(description = "availability zone of the host")
        ZoneName zone,

        @Setting(description = "address to listen on for entries, as IP:port")
        String listen,

        @Setting(
                description = "address that is announced to entries, as IP:port; empty for the value of listen",
                fallback = "\"\"")
        String advertise,

        @Setting(description = "name of the target, unique among all targets")
        TargetName target,

        @Setting(description = "service that the target belongs to")
        ServiceName service,

        @Setting(description = "plug-in that communicates with the target: completions or plain")
        String driver,

        @Setting(description = "base URL of the target, as http://IP:port")
        String targetUrl,

        @Setting(description = "addresses of the control processes, as IP:port")
        List<String> control,

        @Setting(
                description = "KV memory of an engine",
                unit = "tokens",
                min = 0,
                max = 100_000_000,
                fallback = "400000")
        long memoryTokens,

        @Setting(
                description = "maximum number of concurrent runs at the target",
                unit = "runs",
                min = 1,
                max = 10_000,
                fallback = "64")
        int maximumRuns) {

    /** Creates settings with an immutable list of control addresses. */
    public AgentSettings {
        control = List.copyOf(control);
    }
}
