package org.bamboohatch.gateway;

import java.util.List;

import org.bamboohatch.kernel.id.HostName;
import org.bamboohatch.kernel.id.ZoneName;
import org.bamboohatch.kernel.settings.Setting;

/**
 * Settings of a gateway.
 *
 * @param host name of the host
 * @param zone availability zone of the host
 * @param listen address to listen on for callers, as IP:port
 * @param readiness address to listen on for health checks and metrics, as IP:port
 * @param exchange address to listen on for load reports of other gateways, as IP:port
 * @param control addresses of the control processes, as IP:port
 * @param freshnessMillis age of the configuration up to which requests that need a key are admitted, in milliseconds
 * @param retryRatio retries that each request adds to the retry budget of its service
 * @param retryReserve retries per window and service beyond those that requests add, for all gateways together
 * @param retryWindowMillis window of the retry budget, in milliseconds
 * @param memoryLeaseMillis lease of memory that is reserved at an engine for a prompt, in milliseconds
 * @param promptQuarantineMillis time for which the crash of a target counts against the prompt part or the request that
 *     caused it, which is refused while several crashes count against it, in milliseconds
 * @param stopMillis maximum time from the signal to stop until the process stops serving requests, in milliseconds
 * @param maximumWaitingRequests number of generations of a service that may wait for engines; zero to send each at once
 */
public record GatewaySettings(
        @Setting(description = "name of the host") HostName host,

        @Setting(description = "availability zone of the host")
        ZoneName zone,

        @Setting(description = "address to listen on for callers, as IP:port")
        String listen,

        @Setting(description = "address to listen on for health checks and metrics, as IP:port")
        String readiness,

        @Setting(description = "address to listen on for load reports of other gateways, as IP:port")
        String exchange,

        @Setting(description = "addresses of the control processes, as IP:port")
        List<String> control,

        @Setting(
                description = "age of the configuration up to which requests that need a key are admitted",
                unit = "milliseconds",
                min = 500,
                max = 600_000,
                fallback = "4000")
        long freshnessMillis,

        @Setting(
                description = "retries that each request adds to the retry budget of its service, over all gateways",
                min = 0,
                max = 10,
                fallback = "0.1")
        double retryRatio,

        @Setting(
                description =
                        "retries per window and service in addition to those that requests add, for all gateways together",
                min = 0,
                max = 100_000,
                fallback = "20")
        double retryReserve,

        @Setting(
                description = "window of the retry budget",
                unit = "milliseconds",
                min = 100,
                max = 600_000,
                fallback = "10000")
        long retryWindowMillis,

        @Setting(
                description = "lease of memory that is reserved at an engine for a prompt",
                unit = "milliseconds",
                min = 500,
                max = 20_000,
                fallback = "3500")
        long memoryLeaseMillis,

        @Setting(
                description =
                        "time after the crashes of targets for which the prompt part or request that caused them is refused",
                unit = "milliseconds",
                min = 1_000,
                max = 86_400_000,
                fallback = "" + DEFAULT_PROMPT_QUARANTINE_MS)
        long promptQuarantineMillis,

        @Setting(
                description = "maximum time from the stop signal until the process stops serving requests",
                unit = "milliseconds",
                min = 0,
                max = 600_000,
                fallback = "30000")
        long stopMillis,

        @Setting(
                description =
                        "generations of a service that may wait until engines can begin them; 0 to send each at once",
                unit = "requests",
                min = 0,
                max = 10_000,
                fallback = "0")
        int maximumWaitingRequests) {

    /** Default of {@link #promptQuarantineMillis}. */
    public static final long DEFAULT_PROMPT_QUARANTINE_MS = 600_000;

    /** Copies the list. */
    public GatewaySettings {
        control = List.copyOf(control);
    }
}
