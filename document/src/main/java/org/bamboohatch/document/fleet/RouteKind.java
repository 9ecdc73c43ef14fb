package org.bamboohatch.document.fleet;

/** Whether a route's requests may run more than once. */
public enum RouteKind {
    /** A request may run any number of times. */
    IDEMPOTENT {
        @Override
        public boolean mayRepeat(boolean resumable) {
            return true;
        }
    },
    /** A request runs at most once. */
    NON_IDEMPOTENT {
        @Override
        public boolean mayRepeat(boolean resumable) {
            return false;
        }
    },
    /** The answer is a stream of events; a request may run again only if streams of its route are resumable. */
    STREAMING {
        @Override
        public boolean mayRepeat(boolean resumable) {
            return resumable;
        }
    };

    /**
     * Tells whether a request that may have run may be sent again.
     *
     * @param resumable whether streams of the route are resumable
     * @return whether it may
     */
    public abstract boolean mayRepeat(boolean resumable);
}
