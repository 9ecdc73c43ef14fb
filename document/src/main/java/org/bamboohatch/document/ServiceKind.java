package org.bamboohatch.document;

import com.fasterxml.jackson.annotation.JsonProperty;

/** Kinds of services. */
public enum ServiceKind {
    /** Model engines that generate output for prompts. */
    @JsonProperty("engines")
    ENGINES {
        @Override
        public boolean requiresModels() {
            return true;
        }
    },
    /** Plain services that respond to HTTP calls. */
    @JsonProperty("plain")
    PLAIN {
        @Override
        public boolean requiresModels() {
            return false;
        }
    };

    /**
     * Indicates whether documents of this kind must list models.
     *
     * @return {@code true} if models are required, {@code false} if they are rejected
     */
    public abstract boolean requiresModels();
}
