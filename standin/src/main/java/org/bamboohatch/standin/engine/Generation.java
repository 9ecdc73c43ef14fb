package org.bamboohatch.standin.engine;

import java.util.Locale;

/** Sequence of the stand-in engine: a prompt and its partially decoded answer. */
final class Generation {

    /** Number of distinct words in answers. */
    private static final int VOCABULARY_SIZE = 9_973;

    /** Multiplier of the seed in the hash that selects the word at a position. */
    private static final int SEED_MULTIPLIER = 31;

    private final String id;

    /** Priority, with zero as the most urgent. */
    private final int priority;

    private final long promptTokens;

    private final long outputTokens;

    /** Seed of the answer, derived from the prompt, so that the same prompt always gets the same answer. */
    private final int answerSeed;

    private final TokenListener listener;

    private long remainingPrefillTokens;

    /** Number of answer tokens so far, including those that the caller already had. */
    private long emittedTokens;

    private volatile boolean cancelled;

    /** Receives the answer of a sequence. */
    interface TokenListener {

        /**
         * Invoked for each token.
         *
         * @param text text of the token
         */
        void onToken(String text);

        /**
         * Invoked when the sequence has ended.
         *
         * @param reason finish reason, {@code length} or {@code cancelled}
         */
        void onEnd(String reason);
    }

    /**
     * Creates a sequence whose prompt has not been prefilled.
     *
     * @param id identifier chosen by the caller
     * @param priority priority, with zero as the most urgent
     * @param promptTokens length of the prompt, in tokens
     * @param outputTokens length of the whole answer, in tokens
     * @param resumeFrom number of answer tokens that the caller already has, which are not produced again
     * @param answerSeed seed of the answer
     * @param listener receives the answer
     */
    Generation(
            String id,
            int priority,
            long promptTokens,
            long outputTokens,
            long resumeFrom,
            int answerSeed,
            TokenListener listener) {
        this.id = id;
        this.priority = priority;
        this.promptTokens = promptTokens;
        this.outputTokens = outputTokens;
        this.emittedTokens = resumeFrom;
        this.answerSeed = answerSeed;
        this.listener = listener;
        this.remainingPrefillTokens = promptTokens;
    }

    /**
     * Returns the text of an answer's token at a position.
     *
     * @param seed seed of the answer
     * @param position position of the token, from zero
     * @return the text
     */
    static String token(int seed, long position) {
        return String.format(Locale.ROOT, " w%d", Math.floorMod(seed * SEED_MULTIPLIER + position, VOCABULARY_SIZE));
    }

    String id() {
        return id;
    }

    int priority() {
        return priority;
    }

    /** Returns the memory that the sequence occupies, in tokens of prompt and answer. */
    long memoryTokens() {
        return promptTokens + outputTokens;
    }

    long remainingPrefillTokens() {
        return remainingPrefillTokens;
    }

    void prefill(long tokens) {
        remainingPrefillTokens -= tokens;
    }

    /** Indicates whether the answer is complete or cancelled. */
    boolean isFinished() {
        return cancelled || emittedTokens >= outputTokens;
    }

    /** Marks the sequence as cancelled; {@link #end()} reports it to the listener. */
    void cancel() {
        cancelled = true;
    }

    /** Produces the next token. */
    void emit() {
        listener.onToken(token(answerSeed, emittedTokens));
        emittedTokens++;
    }

    /** Reports the finish reason to the listener. */
    void end() {
        listener.onEnd(cancelled ? "cancelled" : "length");
    }
}
