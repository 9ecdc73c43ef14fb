package org.bamboohatch.protocol.message;

import org.bamboohatch.kernel.id.AttemptId;
import org.bamboohatch.kernel.id.ModelName;
import org.bamboohatch.kernel.id.RequestId;
import org.bamboohatch.kernel.id.RunKey;
import org.bamboohatch.kernel.id.ServiceName;

/** Requests to an agent. */
public sealed interface AgentRequest extends Message {

    /**
     * Asks the agent to run a request at its target; replies stream back.
     *
     * @param request the request
     * @param attempt the attempt
     * @param service the service
     * @param model the model, or null for a plain service
     * @param revision the configuration revision that the request was routed under
     * @param remainingMillis the time until the deadline, in milliseconds
     * @param priority the priority at the engine, zero is the most urgent
     * @param promptTokens the length of the prompt, in tokens
     * @param outputTokens the longest answer, in tokens
     * @param resumeFrom the number of answer tokens that the caller already has
     * @param claim the claim of a non-idempotent run, or null
     * @param call the call
     */
    record Dispatch(
            RequestId request,
            AttemptId attempt,
            ServiceName service,
            ModelName model,
            long revision,
            long remainingMillis,
            int priority,
            long promptTokens,
            long outputTokens,
            long resumeFrom,
            Claim claim,
            TargetCall call)
            implements AgentRequest {}

    /**
     * What an agent needs to claim a non-idempotent run.
     *
     * @param key the idempotency key within its account
     * @param bodyHash hash of the request
     * @param attemptTime ledger time at which the attempt was made, in milliseconds
     */
    record Claim(RunKey key, String bodyHash, long attemptTime) {}

    /**
     * Asks the agent to continue the replies of an attempt on this connection.
     *
     * @param attempt the attempt
     * @param fromSequence the first sequence number that the entry lacks
     */
    record Resume(AttemptId attempt, long fromSequence) implements AgentRequest {}

    /**
     * Cancels an attempt.
     *
     * @param attempt the attempt
     */
    record Cancel(AttemptId attempt) implements AgentRequest {}
}
