package org.bamboohatch.standin.relay;

import org.bamboohatch.kernel.settings.Setting;

/**
 * Settings of the fault relay.
 *
 * @param listen address to listen on
 * @param target address to connect to
 * @param control address that takes orders
 * @param delayMillis delay of each direction
 * @param jitterMillis largest deviation from the delay
 * @param lossPercent chance of a part to be delayed as by a lost packet
 * @param seed seed of the delays
 */
public record RelaySettings(
        @Setting(description = "address to listen on, as IP:port")
        String listen,

        @Setting(description = "address to connect to, as IP:port")
        String target,

        @Setting(description = "address that takes orders by HTTP, as IP:port")
        String control,

        @Setting(description = "delay of each direction", unit = "milliseconds", min = 0, max = 10_000, fallback = "0")
        long delayMillis,

        @Setting(
                description = "largest deviation from the delay",
                unit = "milliseconds",
                min = 0,
                max = 10_000,
                fallback = "0")
        long jitterMillis,

        @Setting(
                description = "chance of a part to be delayed as by a lost packet",
                unit = "percent",
                min = 0,
                max = 100,
                fallback = "0")
        double lossPercent,

        @Setting(description = "seed of the delays", min = 0, max = 1e15, fallback = "1")
        long seed) {}
