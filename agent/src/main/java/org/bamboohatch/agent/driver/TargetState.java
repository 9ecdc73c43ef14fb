package org.bamboohatch.agent.driver;

import java.util.List;

import org.bamboohatch.protocol.message.LoadedModel;

/**
 * What a target reports of itself.
 *
 * @param models the loaded models
 * @param millisPerPromptToken prefill time, in milliseconds a token, or zero if it is not known
 * @param streams identifiers of the runs at the target
 */
public record TargetState(List<LoadedModel> models, double millisPerPromptToken, List<String> streams) {

    /** Makes the lists immutable. */
    public TargetState {
        models = List.copyOf(models);
        streams = List.copyOf(streams);
    }
}
