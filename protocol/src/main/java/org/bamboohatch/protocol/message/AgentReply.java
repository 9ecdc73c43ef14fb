package org.bamboohatch.protocol.message;

import com.fasterxml.jackson.annotation.JsonFormat;
import com.fasterxml.jackson.annotation.JsonPropertyOrder;
import org.bamboohatch.kernel.id.AttemptId;
import org.bamboohatch.kernel.outcome.RunOutcome;

/** Replies of an agent. */
public sealed interface AgentReply extends Message {

    /**
     * The load, carried on every pong.
     *
     * @param load the load
     * @param revision the configuration revision that the agent applies
     */
    @JsonFormat(shape = JsonFormat.Shape.ARRAY)
    @JsonPropertyOrder({"load", "revision"})
    record LoadReport(Load load, long revision) implements AgentReply {}

    /**
     * The attempt has its reservation and runs.
     *
     * @param attempt the attempt
     * @param load the load after the reservation
     */
    record Accepted(AttemptId attempt, Load load) implements AgentReply {}

    /** Reasons for which an agent refuses an attempt. */
    enum RefusalReason {
        /** There is no memory or no run free. */
        FULL(true),
        /** The target takes no new work. */
        DRAINING(true),
        /** The request was routed under an older revision than the agent's. */
        STALE_REVISION(true),
        /** The agent does not serve the service or model. */
        WRONG_TARGET(true),
        /** The target is not in good health. */
        UNHEALTHY(true),
        /** The attempt is not known here. */
        UNKNOWN_ATTEMPT(false),
        /** The ledger cannot be reached, so that the claim is not decided. */
        LEDGER_UNREACHABLE(false);

        /** Whether the attempt certainly did not run. */
        private final boolean notRun;

        /**
         * Creates a reason.
         *
         * @param notRun whether the attempt certainly did not run
         */
        RefusalReason(boolean notRun) {
            this.notRun = notRun;
        }

        /**
         * Tells whether the attempt certainly did not run.
         *
         * @return whether the request may be tried elsewhere without further questions
         */
        public boolean isNotRun() {
            return notRun;
        }
    }

    /**
     * The attempt is refused.
     *
     * @param attempt the attempt
     * @param reason the reason
     * @param load the present load
     * @param revision the configuration revision that the agent applies
     */
    record Refused(AttemptId attempt, RefusalReason reason, Load load, long revision) implements AgentReply {}

    /**
     * The ledger decided that the attempt must not run here.
     *
     * @param attempt the attempt
     * @param decision the decision, with the recorded answer if there is one
     */
    record Claimed(AttemptId attempt, ControlReply.Run decision) implements AgentReply {}

    /**
     * A part of the answer.
     *
     * @param attempt the attempt
     * @param sequence the position in the stream, counted from zero
     * @param tokens the number of answer tokens in the data
     * @param data the data
     */
    @JsonFormat(shape = JsonFormat.Shape.ARRAY)
    @JsonPropertyOrder({"attempt", "sequence", "tokens", "data"})
    record Chunk(AttemptId attempt, long sequence, int tokens, byte[] data) implements AgentReply {}

    /**
     * The answer is complete.
     *
     * @param attempt the attempt
     * @param chunks the number of chunks in the whole stream
     * @param status the HTTP status of the target
     * @param contentType the media type of the answer
     * @param finishReason why an engine ended the answer, such as stop or length
     */
    record Completed(AttemptId attempt, long chunks, int status, String contentType, String finishReason)
            implements AgentReply {}

    /**
     * The attempt failed.
     *
     * @param attempt the attempt
     * @param outcome what is known about the run
     * @param sentence the reason
     */
    record Failed(AttemptId attempt, RunOutcome outcome, String sentence) implements AgentReply {}
}
