package org.bamboohatch.kernel.outcome;

import java.time.Duration;
import java.util.Optional;

/**
 * An error answer to a caller.
 *
 * @param code the code
 * @param sentence one sentence for people
 * @param outcome what the caller may conclude about the run
 * @param retryAfter when to come back, if that makes sense
 */
public record Refusal(ErrorCode code, String sentence, RunOutcome outcome, Optional<Duration> retryAfter) {

    /**
     * Makes a refusal of a request that did not run.
     *
     * @param code the code
     * @param sentence one sentence for people
     * @return the refusal
     */
    public static Refusal notRun(ErrorCode code, String sentence) {
        return new Refusal(code, sentence, RunOutcome.NOT_RUN, Optional.empty());
    }

    /**
     * Returns a copy with a time to come back.
     *
     * @param delay the delay after which a retry makes sense
     * @return the copy
     */
    public Refusal withRetryAfter(Duration delay) {
        return new Refusal(code, sentence, outcome, Optional.of(delay));
    }

    /**
     * Returns a copy with another outcome.
     *
     * @param changed what the caller may conclude about the run
     * @return the copy
     */
    public Refusal withOutcome(RunOutcome changed) {
        return new Refusal(code, sentence, changed, retryAfter);
    }
}
