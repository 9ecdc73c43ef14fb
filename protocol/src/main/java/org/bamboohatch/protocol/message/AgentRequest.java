package org.bamboohatch.protocol.message;

import org.bamboohatch.kernel.id.AttemptId;
import org.bamboohatch.kernel.id.ModelName;
import org.bamboohatch.kernel.id.RequestId;
import org.bamboohatch.kernel.id.RunKey;
import org.bamboohatch.kernel.id.ServiceName;

/** Requests of an entry to an agent. */
public sealed interface AgentRequest extends Message {

    /**
     * Runs a request at the target of the agent. The agent replies with a stream of {@link AgentReply} messages.
     *
     * @param request identifier of the request
     * @param attempt identifier of the attempt
     * @param service name of the service
     * @param model name of the model, or {@code null} for a plain service
     * @param revision revision of the service document that the request was routed with
     * @param remainingMillis time until the deadline of the request, in milliseconds
     * @param priority priority at the engine, where zero is the most urgent
     * @param promptTokens length of the prompt, in tokens
     * @param outputTokens maximum length of the output, in tokens
     * @param resumeFrom number of output tokens that the caller has already received
     * @param claim claim of a non-idempotent run, or {@code null} if the request is idempotent
     * @param call the HTTP request to send to the target
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
     * Contains what an agent needs to claim a non-idempotent run in the ledger.
     *
     * @param key client account and idempotency key of the request
     * @param bodyHash hash of the request
     * @param attemptTime ledger time at which the attempt was made, in milliseconds
     */
    record Claim(RunKey key, String bodyHash, long attemptTime) {}

    /**
     * Continues the replies of an attempt on the connection and stream of this message.
     *
     * @param attempt identifier of the attempt
     * @param fromSequence sequence number of the first chunk that the entry has not received
     */
    record Resume(AttemptId attempt, long fromSequence) implements AgentRequest {}

    /**
     * Cancels an attempt; there is no reply.
     *
     * @param attempt identifier of the attempt
     */
    record Cancel(AttemptId attempt) implements AgentRequest {}
}
