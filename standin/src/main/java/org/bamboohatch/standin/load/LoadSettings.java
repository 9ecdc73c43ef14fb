package org.bamboohatch.standin.load;

import java.util.List;

import org.bamboohatch.kernel.settings.Setting;

/**
 * Settings of the load driver.
 *
 * @param urls base URLs that requests are sent to in turn
 * @param seed seed of all random draws
 * @param model name of the model
 * @param phases phases of the run, one after the other
 * @param shapes shapes of requests
 * @param keys API keys of the client accounts, drawn with equal probability
 * @param warmupSeconds time at the beginning whose requests are left out of the printed table, in seconds
 * @param csv path of the file with one line per request, or an empty string for none
 */
public record LoadSettings(
        @Setting(description = "base URLs that requests are sent to in turn, as http://IP:port")
        List<String> urls,

        @Setting(description = "seed of all random draws", min = 0, max = 1e15, fallback = "1")
        long seed,

        @Setting(description = "name of the model", fallback = "glass")
        String model,

        @Setting(description = "phases of the run, one after the other")
        List<Phase> phases,

        @Setting(description = "shapes of requests") List<Shape> shapes,

        @Setting(description = "API keys of the client accounts", fallback = "[demo-key]")
        List<String> keys,

        @Setting(
                description = "time at the beginning whose requests are left out of the printed table",
                unit = "seconds",
                min = 0,
                max = 3600,
                fallback = "0")
        double warmupSeconds,

        @Setting(description = "CSV file with one line per request; empty for none", fallback = "\"\"")
        String csv) {

    /** Creates settings with immutable lists. */
    public LoadSettings {
        urls = List.copyOf(urls);
        phases = List.copyOf(phases);
        shapes = List.copyOf(shapes);
        keys = List.copyOf(keys);
    }

    /**
     * A phase of the run with a constant arrival rate.
     *
     * @param seconds length of the phase, in seconds
     * @param rate mean number of arrivals per second
     */
    public record Phase(
            @Setting(description = "length of the phase", unit = "seconds", min = 0, max = 86_400)
            double seconds,

            @Setting(description = "arrivals", unit = "requests a second", min = 0, max = 100_000)
            double rate) {}

    /**
     * A shape of requests.
     *
     * @param name name in the results
     * @param weight probability relative to the other shapes
     * @param minimumTokens length of the shortest prompt, in tokens
     * @param maximumTokens length of the longest prompt, in tokens
     * @param outputTokens length of the answer, in tokens
     * @param timeoutSeconds timeout of the request, in seconds
     * @param silent whether requests of this shape are drawn but not sent
     */
    public record Shape(
            @Setting(description = "name in the results") String name,

            @Setting(description = "probability relative to the other shapes", min = 0, max = 1e6)
            double weight,

            @Setting(description = "length of the shortest prompt", unit = "tokens", min = 1, max = 4e6)
            long minimumTokens,

            @Setting(description = "length of the longest prompt", unit = "tokens", min = 1, max = 4e6)
            long maximumTokens,

            @Setting(description = "length of the answer", unit = "tokens", min = 1, max = 1e6, fallback = "32")
            long outputTokens,

            @Setting(
                    description = "timeout of the request",
                    unit = "seconds",
                    min = 0.01,
                    max = 86_400,
                    fallback = "30")
            double timeoutSeconds,

            @Setting(description = "whether requests of this shape are drawn but not sent", fallback = "false")
            boolean silent) {}
}
