package org.bamboohatch.document.fleet;

/** Kinds of routes by whether their requests may run more than once. */
public enum RouteKind {
    /** Requests may run any number of times. */
    IDEMPOTENT {
        @Override
        public boolean mayRepeat(boolean resumable) {
            return true;
        }
    },
    /** Requests must run at most once. */
    NON_IDEMPOTENT {
        @Override
        public boolean mayRepeat(boolean resumable) {
            return false;
        }
    },
    /** Responses are event streams; a request may run again only if the streams of its route are resumable. */
    STREAMING {
        @Override
        public boolean mayRepeat(boolean resumable) {
            return resumable;
        }
    };

    /**
     * Indicates whether a request that may have run already may be sent again.
     *
     * @param resumable whether streams of the route are resumable
     * @return {@code true} if the request may be repeated
     */
    public abstract boolean mayRepeat(boolean resumable);
}
