package org.bamboohatch.document;

import java.util.List;

import org.bamboohatch.kernel.id.ModelName;
import org.bamboohatch.kernel.settings.Setting;

/**
 * A model of a service.
 *
 * @param name name by which callers request the model
 * @param version version of the weights to run
 * @param adapters adapters to load with the model
 * @param contextTokens maximum length of the prompt together with the output, in tokens
 * @param engines number of engines that should have the model loaded
 */
public record ModelSpecification(
        @Setting(description = "name that callers write in \"model\"")
        ModelName name,

        @Setting(description = "version of the weights to run")
        String version,

        @Setting(description = "adapters loaded with the model", fallback = "[]")
        List<String> adapters,

        @Setting(
                description = "longest prompt together with its answer",
                unit = "tokens",
                min = 1,
                max = 4_000_000,
                fallback = "131072")
        long contextTokens,

        @Setting(description = "engines that should have the model loaded", min = 0, max = 1600, fallback = "1")
        int engines) {

    /** Copies the list to keep the record immutable. */
    public ModelSpecification {
        adapters = List.copyOf(adapters);
    }
}
