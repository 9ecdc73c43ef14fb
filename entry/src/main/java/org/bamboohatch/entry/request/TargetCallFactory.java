package org.bamboohatch.entry.request;

import org.bamboohatch.kernel.id.AttemptId;
import org.bamboohatch.protocol.message.TargetCall;

/** Creates the call that each attempt of a request sends to its target. */
@FunctionalInterface
public interface TargetCallFactory {

    /**
     * Creates the call of one attempt.
     *
     * @param attempt identifier of the attempt
     * @param priority priority of the request at an engine; zero is the most urgent
     * @param resumeFrom number of output tokens that the caller has already received
     * @return the call
     */
    TargetCall create(AttemptId attempt, int priority, long resumeFrom);
}
