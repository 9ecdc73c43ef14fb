package org.bamboohatch.gateway.forward;

import org.bamboohatch.kernel.outcome.ErrorCode;
import org.bamboohatch.kernel.outcome.Refusal;
import org.bamboohatch.kernel.outcome.RunOutcome;

/**
 * Why a request ends without a complete response of a target.
 *
 * @param reason the reason, for the caller and the decision log
 * @param refusal response to the caller if no target has run the request
 * @param unknownCode code of the response if a target may have run it
 */
record RequestFailure(String reason, Refusal refusal, ErrorCode unknownCode) {

    /**
     * Creates the failure of a request at its targets, or at its deadline.
     *
     * @param reason the reason, for the caller and the decision log
     * @param refusal response to the caller if no target has run the request
     * @param deadlinePassed whether the deadline of the request has passed
     * @return the failure
     */
    static RequestFailure of(String reason, Refusal refusal, boolean deadlinePassed) {
        ErrorCode code = deadlinePassed ? ErrorCode.DEADLINE_EXCEEDED : ErrorCode.TARGET_FAILED;
        return new RequestFailure(reason, refusal, code);
    }

    Refusal response(boolean mayHaveRun) {
        return mayHaveRun
                ? Refusal.notRun(unknownCode, "No answer of a target: " + reason + ".")
                        .withOutcome(RunOutcome.UNKNOWN)
                : refusal;
    }
}
