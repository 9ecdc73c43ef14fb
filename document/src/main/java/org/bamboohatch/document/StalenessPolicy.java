package org.bamboohatch.document;

import com.fasterxml.jackson.annotation.JsonProperty;

/** Handling of requests while an entry cannot prove that its copy of a service document is up to date. */
public enum StalenessPolicy {
    /** Refuses requests; they are reported as not run. */
    @JsonProperty("refuse")
    REFUSE {
        @Override
        public boolean admitsWhenStale() {
            return false;
        }
    },
    /** Serves requests according to the last known document. */
    @JsonProperty("serve")
    SERVE {
        @Override
        public boolean admitsWhenStale() {
            return true;
        }
    };

    /**
     * Indicates whether requests are admitted while the document may be stale.
     *
     * @return {@code true} if requests are admitted
     */
    public abstract boolean admitsWhenStale();
}
