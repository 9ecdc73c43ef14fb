package org.bamboohatch.entry.request;

import org.bamboohatch.kernel.id.AttemptId;
import org.bamboohatch.protocol.message.TargetCall;

/** Makes the call of each attempt. */
@FunctionalInterface
public interface CallTemplate {

    /**
     * Makes a call.
     *
     * @param attempt the attempt
     * @param priority the priority at an engine
     * @param resumeFrom answer tokens that the caller already has
     * @return the call
     */
    TargetCall call(AttemptId attempt, int priority, long resumeFrom);
}
