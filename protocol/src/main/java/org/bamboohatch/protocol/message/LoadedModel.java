package org.bamboohatch.protocol.message;

import org.bamboohatch.kernel.id.ModelName;

/**
 * A version of a model.
 *
 * @param name name of the model as callers specify it
 * @param version version of the model's weights
 */
public record LoadedModel(ModelName name, String version) {}
