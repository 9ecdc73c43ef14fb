package org.bamboohatch.standin.control;

import java.util.List;

import org.bamboohatch.kernel.settings.Setting;

/**
 * Settings of the driver of the control processes.
 *
 * @param control addresses of the control processes
 * @param targets agents that are played
 * @param entries entries that are played
 * @param zones availability zones that they are spread over
 * @param seconds time for which they are played
 * @param changes changes of a document that are applied one after the other
 * @param claims claims of runs that are made one after the other
 * @param parallel claims that are under way at the same time in the second part
 * @param follow address of a process whose catching up is awaited, or an empty text
 */
public record ControlLoadSettings(
        @Setting(description = "addresses of the control processes")
        List<String> control,

        @Setting(description = "agents that are played", min = 0, max = 100_000, fallback = "0")
        int targets,

        @Setting(description = "entries that are played", min = 0, max = 100_000, fallback = "0")
        int entries,

        @Setting(description = "availability zones that they are spread over", min = 1, max = 100, fallback = "3")
        int zones,

        @Setting(
                description = "time for which they are played",
                unit = "seconds",
                min = 0,
                max = 86_400,
                fallback = "10")
        int seconds,

        @Setting(description = "changes applied one after the other", min = 0, max = 1_000_000, fallback = "0")
        int changes,

        @Setting(description = "claims made one after the other", min = 0, max = 10_000_000, fallback = "0")
        int claims,

        @Setting(description = "claims under way at the same time", min = 1, max = 10_000, fallback = "256")
        int parallel,

        @Setting(description = "address of a process whose catching up is awaited; empty for none", fallback = "\"\"")
        String follow) {

    /** Makes the list immutable. */
    public ControlLoadSettings {
        control = List.copyOf(control);
    }
}
