package org.bamboohatch.document;

import com.fasterxml.jackson.annotation.JsonProperty;

/** Kinds of service. */
public enum ServiceKind {
    /** Model engines that answer prompts. */
    @JsonProperty("engines")
    ENGINES {
        @Override
        public boolean requiresModels() {
            return true;
        }
    },
    /** Plain services that answer calls. */
    @JsonProperty("plain")
    PLAIN {
        @Override
        public boolean requiresModels() {
            return false;
        }
    };

    /**
     * Tells whether a document of this kind names models.
     *
     * @return whether models are required
     */
    public abstract boolean requiresModels();
}
