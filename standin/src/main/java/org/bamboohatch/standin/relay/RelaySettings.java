package org.bamboohatch.standin.relay;

import org.bamboohatch.kernel.settings.Setting;

/**
 * Settings of the fault relay.
 *
 * @param listen IP address and port to listen on
 * @param target IP address and port to connect to
 * @param control IP address and port of the HTTP interface that sets the mode
 * @param delayMillis delay of each direction, in milliseconds
 * @param jitterMillis maximum deviation from the delay, up or down, in milliseconds
 * @param lossPercent probability that data is delayed as if a packet had been lost, in percent
 * @param seed seed of the delays
 */
public record RelaySettings(
        @Setting(description = "address to listen on, as IP:port")
        String listen,

        @Setting(description = "address to connect to, as IP:port")
        String target,

        @Setting(description = "address of the HTTP interface that sets the mode, as IP:port")
        String control,

        @Setting(description = "delay of each direction", unit = "milliseconds", min = 0, max = 10_000, fallback = "0")
        long delayMillis,

        @Setting(
                description = "maximum deviation from the delay, up or down",
                unit = "milliseconds",
                min = 0,
                max = 10_000,
                fallback = "0")
        long jitterMillis,

        @Setting(
                description = "probability that data is delayed as if a packet had been lost",
                unit = "percent",
                min = 0,
                max = 100,
                fallback = "0")
        double lossPercent,

        @Setting(description = "seed of the delays", min = 0, max = 1e15, fallback = "1")
        long seed) {}
