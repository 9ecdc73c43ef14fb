package org.bamboohatch.standin.plain;

import org.bamboohatch.kernel.settings.Setting;

/**
 * Settings of the stand-in plain service.
 *
 * @param listen IP address and port to listen on
 * @param delayMillis processing time of each call, in milliseconds
 */
public record PlainSettings(
        @Setting(description = "address to listen on, as IP:port")
        String listen,

        @Setting(
                description = "processing time of each call",
                unit = "milliseconds",
                min = 0,
                max = 600_000,
                fallback = "5")
        long delayMillis) {}
