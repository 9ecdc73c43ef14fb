package org.bamboohatch.agent.driver;

import java.util.List;

import org.bamboohatch.protocol.message.LoadedModel;

/**
 * The state that a target reports.
 *
 * @param models the models that are loaded
 * @param millisPerPromptToken prefill time per prompt token, in milliseconds, or zero if it is unknown
 * @param streams identifiers of the runs at the target, which are those of their attempts
 */
public record TargetState(List<LoadedModel> models, double millisPerPromptToken, List<String> streams) {

    /** Creates a state with immutable lists. */
    public TargetState {
        models = List.copyOf(models);
        streams = List.copyOf(streams);
    }
}
