package org.bamboohatch.kernel.outcome;

import java.time.Duration;
import java.util.Optional;

/**
 * Error response to a caller.
 *
 * @param code error code, which also determines the HTTP status
 * @param sentence explanation of the error for people, one sentence
 * @param outcome whether the request ran
 * @param retryAfter delay after which a retry makes sense, if any
 */
public record Refusal(ErrorCode code, String sentence, RunOutcome outcome, Optional<Duration> retryAfter) {

    /**
     * Creates an error response for a request that did not run.
     *
     * @param code error code
     * @param sentence explanation of the error for people, one sentence
     * @return an error response without a retry delay
     */
    public static Refusal notRun(ErrorCode code, String sentence) {
        return new Refusal(code, sentence, RunOutcome.NOT_RUN, Optional.empty());
    }

    /**
     * Returns a copy with a retry delay.
     *
     * @param delay delay after which a retry makes sense
     */
    public Refusal withRetryAfter(Duration delay) {
        return new Refusal(code, sentence, outcome, Optional.of(delay));
    }

    /**
     * Returns a copy with a different outcome.
     *
     * @param changed whether the request ran
     */
    public Refusal withOutcome(RunOutcome changed) {
        return new Refusal(code, sentence, changed, retryAfter);
    }
}
