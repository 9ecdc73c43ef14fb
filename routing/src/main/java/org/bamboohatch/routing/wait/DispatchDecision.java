package org.bamboohatch.routing.wait;

import org.bamboohatch.routing.fleet.Placement;

/** What happens to a generation now. */
public sealed interface DispatchDecision {

    /**
     * The request is sent to engines.
     *
     * @param placement the engines
     */
    record Dispatch(Placement placement) implements DispatchDecision {}

    /**
     * The request waits at the gateway.
     *
     * @param reason what it waits for
     * @param firstEventMillis predicted time until its first event, in milliseconds
     * @param workAheadMillis predicted time until the work ahead of it is done, in milliseconds
     */
    record Wait(Reason reason, double firstEventMillis, double workAheadMillis) implements DispatchDecision {}

    /**
     * The request is refused without having run.
     *
     * @param reason why it is refused
     * @param firstEventMillis predicted time until its first event, in milliseconds
     * @param workAheadMillis predicted time until the work ahead of it is done, in milliseconds
     * @param retryMillis time after which its caller should return, in milliseconds
     */
    record Refuse(Reason reason, double firstEventMillis, double workAheadMillis, long retryMillis)
            implements DispatchDecision {}

    /** Reasons to wait or to refuse. */
    enum Reason {
        /** All slots of all engines are taken. */
        SLOTS("slots"),
        /** The engines that the prompt may use have a prefill backlog. */
        BACKLOG("backlog"),
        /** The engines do not have enough free memory. */
        MEMORY("memory"),
        /** The first event would come after the caller has left. */
        TOO_LATE("too-late"),
        /** The queue is full and another request is more likely to be in time. */
        QUEUE_FULL("queue-full");

        private final String label;

        Reason(String label) {
            this.label = label;
        }

        /**
         * Returns the reason as it is written in logs and metrics.
         *
         * @return the label
         */
        public String label() {
            return label;
        }
    }
}
