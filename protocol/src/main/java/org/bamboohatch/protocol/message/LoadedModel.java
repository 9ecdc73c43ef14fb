package org.bamboohatch.protocol.message;

import org.bamboohatch.kernel.id.ModelName;

/**
 * A model in one version.
 *
 * @param name the name that callers write
 * @param version the version of the weights
 */
public record LoadedModel(ModelName name, String version) {}
