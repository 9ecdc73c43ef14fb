package org.bamboohatch.document;

import org.bamboohatch.kernel.settings.Setting;

/**
 * Times within which requests of a service finish or fail.
 *
 * @param defaultSeconds the time of a request that names none
 * @param maximumSeconds the longest time that a request may name
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
