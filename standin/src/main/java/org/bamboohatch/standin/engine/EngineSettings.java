package org.bamboohatch.standin.engine;

import java.util.List;

import org.bamboohatch.kernel.settings.Setting;

/**
 * Settings of the stand-in engine.
 *
 * @param listen IP address and port to listen on
 * @param memoryTokens size of the KV memory, in tokens
 * @param stepTokens token budget of a step, which decoding sequences and prefilled prompts share
 * @param baseStepMillis duration of an empty step, in milliseconds
 * @param prefillMillisPerToken duration of the prefill of one prompt token, in milliseconds
 * @param decodeMillisPerSequence duration of the decoding of one token of one sequence, in milliseconds
 * @param timeScale factor that durations of steps and of loading a model are multiplied by
 * @param loadLagMillis minimum time between two updates of the reported load, in milliseconds
 * @param loadModelMillis duration of loading a model, in milliseconds
 * @param honoursFencing whether placement orders with an old fencing token are refused
 * @param abortsOnDisconnect whether a sequence is cancelled when its caller disconnects
 * @param models models that are loaded at the start, as name@version
 */
public record EngineSettings(
        @Setting(description = "address to listen on, as IP:port")
        String listen,

        @Setting(description = "KV memory", unit = "tokens", min = 1, max = 100_000_000, fallback = "400000")
        long memoryTokens,

        @Setting(description = "token budget of a step", unit = "tokens", min = 1, max = 1_000_000, fallback = "1024")
        int stepTokens,

        @Setting(
                description = "duration of an empty step",
                unit = "milliseconds",
                min = 0,
                max = 1000,
                fallback = "6.0")
        double baseStepMillis,

        @Setting(
                description = "duration of the prefill of one prompt token",
                unit = "milliseconds",
                min = 0,
                max = 1000,
                fallback = "0.0125")
        double prefillMillisPerToken,

        @Setting(
                description = "duration of the decoding of one token of one sequence",
                unit = "milliseconds",
                min = 0,
                max = 1000,
                fallback = "0.05")
        double decodeMillisPerSequence,

        @Setting(
                description = "factor by which the durations of steps and of loading a model are multiplied",
                min = 0.001,
                max = 100,
                fallback = "1.0")
        double timeScale,

        @Setting(
                description = "minimum time between two updates of the reported load",
                unit = "milliseconds",
                min = 0,
                max = 60_000,
                fallback = "200")
        long loadLagMillis,

        @Setting(
                description = "duration of loading a model",
                unit = "milliseconds",
                min = 0,
                max = 600_000,
                fallback = "500")
        long loadModelMillis,

        @Setting(description = "whether placement orders with an old fencing token are refused", fallback = "true")
        boolean honoursFencing,

        @Setting(description = "whether a sequence is cancelled when its caller disconnects", fallback = "false")
        boolean abortsOnDisconnect,

        @Setting(description = "models that are loaded at the start, as name@version", fallback = "[]")
        List<String> models) {

    /** Creates settings with an immutable list of models. */
    public EngineSettings {
        models = List.copyOf(models);
    }
}
