package org.bamboohatch.protocol.message;

import java.util.List;

import com.fasterxml.jackson.annotation.JsonFormat;
import com.fasterxml.jackson.annotation.JsonPropertyOrder;

/**
 * Load of a target as reported by its agent.
 *
 * @param runs number of runs that hold a reservation
 * @param reservedTokens reserved KV memory, in tokens
 * @param waitingTokens number of prompt tokens of runs without a first output token, by priority from zero up
 * @param millisPerPromptToken prefill time per prompt token, in milliseconds, or zero if it is unknown
 * @param draining whether the target accepts no new requests
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
@JsonPropertyOrder({"runs", "reservedTokens", "waitingTokens", "millisPerPromptToken", "draining"})
public record Load(
        int runs, long reservedTokens, List<Long> waitingTokens, double millisPerPromptToken, boolean draining) {

    /** Number of request priorities, of which zero is the most urgent. */
    public static final int PRIORITIES = 5;

    /** Load of a target without runs. */
    public static final Load IDLE = new Load(0, 0, List.of(0L, 0L, 0L, 0L, 0L), 0, false);

    /** Creates a load with an immutable list of waiting tokens. */
    public Load {
        waitingTokens = List.copyOf(waitingTokens);
    }
}
