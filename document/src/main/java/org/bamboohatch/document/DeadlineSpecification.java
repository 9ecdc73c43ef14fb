package org.bamboohatch.document;

import org.bamboohatch.kernel.settings.Setting;

/**
 * Request timeouts of a service. A request that has not finished in time fails.
 *
 * @param defaultSeconds timeout of a request that does not specify one, in seconds
 * @param maximumSeconds maximum timeout that a request may specify, in seconds
 */
public record DeadlineSpecification(
        @Setting(
                description = "time of a request that names none",
                unit = "seconds",
                min = 0.1,
                max = 86_400,
                fallback = "60")
        double defaultSeconds,

        @Setting(
                description = "longest time that a request may name",
                unit = "seconds",
                min = 0.1,
                max = 86_400,
                fallback = "600")
        double maximumSeconds) {}
