package org.bamboohatch.standin.control;

import java.util.List;

import org.bamboohatch.kernel.settings.Setting;

/**
 * Settings of the load driver for control processes.
 *
 * @param control addresses of the control processes
 * @param targets number of simulated agents
 * @param entries number of simulated entries
 * @param zones number of availability zones that the simulated processes are spread over
 * @param seconds time for which the rates of the simulated processes are measured, in seconds
 * @param changes number of document changes that are applied one after the other
 * @param claims number of run claims that are made in parallel; if positive, sequential claims are measured as well
 * @param parallel maximum number of open claims in the measurement of parallel claims
 * @param follow address of the process whose catch-up is measured, or an empty string for none
 */
public record ControlLoadSettings(
        @Setting(description = "addresses of the control processes, as IP:port")
        List<String> control,

        @Setting(description = "number of simulated agents", min = 0, max = 100_000, fallback = "0")
        int targets,

        @Setting(description = "number of simulated entries", min = 0, max = 100_000, fallback = "0")
        int entries,

        @Setting(
                description = "number of availability zones that the simulated processes are spread over",
                min = 1,
                max = 100,
                fallback = "3")
        int zones,

        @Setting(
                description = "time for which the rates of the simulated processes are measured",
                unit = "seconds",
                min = 0,
                max = 86_400,
                fallback = "10")
        int seconds,

        @Setting(
                description = "number of document changes that are applied one after the other",
                min = 0,
                max = 1_000_000,
                fallback = "0")
        int changes,

        @Setting(
                description =
                        "number of run claims that are made in parallel; if positive, sequential claims are measured as well",
                min = 0,
                max = 10_000_000,
                fallback = "0")
        int claims,

        @Setting(
                description = "maximum number of open claims in the measurement of parallel claims",
                min = 1,
                max = 10_000,
                fallback = "256")
        int parallel,

        @Setting(description = "address of the process whose catch-up is measured; empty for none", fallback = "\"\"")
        String follow) {

    /** Creates settings with an immutable list of control addresses. */
    public ControlLoadSettings {
        control = List.copyOf(control);
    }
}
