package org.bamboohatch.protocol.message;

import com.fasterxml.jackson.annotation.JsonFormat;
import com.fasterxml.jackson.annotation.JsonPropertyOrder;
import org.bamboohatch.kernel.id.AttemptId;
import org.bamboohatch.kernel.outcome.RunOutcome;

/** Replies of an agent to an entry. */
public sealed interface AgentReply extends Message {

    /**
     * Reports the load of the target, sent with every {@link ConnectionMessage.Pong}.
     *
     * @param load the current load
     * @param revision the configuration revision that the agent has applied
     */
    @JsonFormat(shape = JsonFormat.Shape.ARRAY)
    @JsonPropertyOrder({"load", "revision"})
    record LoadReport(Load load, long revision) implements AgentReply {}

    /**
     * Accepts an attempt for which capacity has been reserved.
     *
     * @param attempt identifier of the attempt
     * @param load the load of the target, including the new reservation
     */
    record Accepted(AttemptId attempt, Load load) implements AgentReply {}

    /** Reasons for which an agent refuses an attempt. */
    enum RefusalReason {
        /** The memory or the maximum number of concurrent runs is exhausted, or the attempt is known already. */
        FULL(true),
        /** The target accepts no new requests. */
        DRAINING(true),
        /** The request was routed with an older revision of the service document than the agent has applied. */
        STALE_REVISION(true),
        /** The target does not belong to the service. */
        WRONG_TARGET(true),
        /** The target does not answer health checks. */
        UNHEALTHY(true),
        /** The attempt is unknown to the agent, or ended too long ago to be resumed. */
        UNKNOWN_ATTEMPT(false),
        /** The ledger cannot be reached, so that the claim of the run is undecided. */
        LEDGER_UNREACHABLE(false);

        private final boolean notRun;

        RefusalReason(boolean notRun) {
            this.notRun = notRun;
        }

        /**
         * Indicates whether the attempt certainly did not run.
         *
         * @return {@code true} if the request may be retried at another target without consulting the ledger
         */
        public boolean isNotRun() {
            return notRun;
        }
    }

    /**
     * Refuses an attempt.
     *
     * @param attempt identifier of the attempt
     * @param reason why the attempt is refused
     * @param load the current load of the target
     * @param revision the configuration revision that the agent has applied, or zero if it is not reported
     */
    record Refused(AttemptId attempt, RefusalReason reason, Load load, long revision) implements AgentReply {}

    /**
     * Reports the decision of the ledger that an attempt must not run at this target.
     *
     * @param attempt identifier of the attempt
     * @param decision the decision, with the recorded answer if the run has finished
     */
    record Claimed(AttemptId attempt, ControlReply.Run decision) implements AgentReply {}

    /**
     * Contains a chunk of the answer.
     *
     * @param attempt identifier of the attempt
     * @param sequence position of the chunk in the stream, counted from zero
     * @param tokens number of output tokens in the chunk, zero for a plain service
     * @param data bytes of the chunk
     */
    @JsonFormat(shape = JsonFormat.Shape.ARRAY)
    @JsonPropertyOrder({"attempt", "sequence", "tokens", "data"})
    record Chunk(AttemptId attempt, long sequence, int tokens, byte[] data) implements AgentReply {}

    /**
     * Ends the stream of a complete answer.
     *
     * @param attempt identifier of the attempt
     * @param chunks total number of chunks in the stream
     * @param status HTTP status of the target's response
     * @param contentType media type of the answer
     * @param finishReason why an engine ended the answer, such as {@code stop} or {@code length}; empty for a plain
     *     service
     */
    record Completed(AttemptId attempt, long chunks, int status, String contentType, String finishReason)
            implements AgentReply {}

    /**
     * Ends an attempt that failed.
     *
     * @param attempt identifier of the attempt
     * @param outcome what is known about the run
     * @param sentence why the attempt failed
     */
    record Failed(AttemptId attempt, RunOutcome outcome, String sentence) implements AgentReply {}
}
