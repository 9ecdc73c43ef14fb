package org.bamboohatch.protocol.message;

import java.util.List;

import com.fasterxml.jackson.annotation.JsonFormat;
import com.fasterxml.jackson.annotation.JsonPropertyOrder;

/**
 * Load of a target as its agent sees it.
 *
 * @param runs runs that are under way
 * @param reservedTokens KV memory that is reserved, in tokens
 * @param waitingTokens prompt tokens of runs without a first answer token, by priority, zero first
 * @param millisPerPromptToken prefill time, in milliseconds a token
 * @param draining whether the target takes no new work
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
@JsonPropertyOrder({"runs", "reservedTokens", "waitingTokens", "millisPerPromptToken", "draining"})
public record Load(
        int runs, long reservedTokens, List<Long> waitingTokens, double millisPerPromptToken, boolean draining) {

    /** The number of priorities. */
    public static final int PRIORITIES = 5;

    /** The load of a target that does nothing. */
    public static final Load IDLE = new Load(0, 0, List.of(0L, 0L, 0L, 0L, 0L), 0, false);

    /** Makes the list immutable. */
    public Load {
        waitingTokens = List.copyOf(waitingTokens);
    }
}
