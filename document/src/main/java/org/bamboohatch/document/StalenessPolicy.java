package org.bamboohatch.document;

import com.fasterxml.jackson.annotation.JsonProperty;

/** What an entry does while it cannot show that its copy of a document is fresh. */
public enum StalenessPolicy {
    /** Requests are refused as not run. */
    @JsonProperty("refuse")
    REFUSE {
        @Override
        public boolean admitsWhenStale() {
            return false;
        }
    },
    /** Requests are served under the last known document. */
    @JsonProperty("serve")
    SERVE {
        @Override
        public boolean admitsWhenStale() {
            return true;
        }
    };

    /**
     * Tells whether requests are admitted under a document that may be stale.
     *
     * @return whether requests are admitted
     */
    public abstract boolean admitsWhenStale();
}
