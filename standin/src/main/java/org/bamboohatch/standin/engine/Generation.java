package org.bamboohatch.standin.engine;

import java.util.Locale;

/** One prompt at the stand-in engine and its answer so far. */
final class Generation {

    /** Number of different words in answers. */
    private static final int VOCABULARY = 9_973;

    /** Mixes the seed of an answer with a position. */
    private static final int MIXER = 31;

    /** Identifier that the caller gave. */
    private final String id;

    /** Priority, zero is the most urgent. */
    private final int priority;

    /** Length of the prompt, in tokens. */
    private final long promptTokens;

    /** Length of the answer, in tokens. */
    private final long outputTokens;

    /** Seed of the answer, so that the same prompt gets the same answer. */
    private final int answerSeed;

    /** Hears the answer. */
    private final TokenListener listener;

    /** Prompt tokens that have not been processed. */
    private long prefillLeft;

    /** Answer tokens so far. */
    private long emitted;

    /** Whether the sequence was cancelled. */
    private volatile boolean cancelled;

    /** Hears the answer of a sequence. */
    interface TokenListener {

        /**
         * Called for each token.
         *
         * @param text the text of the token
         */
        void onToken(String text);

        /**
         * Called at the end.
         *
         * @param reason stop, length or cancelled
         */
        void onEnd(String reason);
    }

    /**
     * Creates a sequence.
     *
     * @param id identifier that the caller gave
     * @param priority priority, zero is the most urgent
     * @param promptTokens length of the prompt, in tokens
     * @param outputTokens length of the whole answer, in tokens
     * @param resumeFrom answer tokens that the caller already has
     * @param answerSeed seed of the answer
     * @param listener hears the answer
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
        this.emitted = resumeFrom;
        this.answerSeed = answerSeed;
        this.listener = listener;
        this.prefillLeft = promptTokens;
    }

    /**
     * Returns the text of one answer token.
     *
     * @param seed seed of the answer
     * @param position position of the token
     * @return the text
     */
    static String token(int seed, long position) {
        return String.format(Locale.ROOT, " w%d", Math.floorMod(seed * MIXER + position, VOCABULARY));
    }

    /**
     * Returns the identifier.
     *
     * @return the identifier that the caller gave
     */
    String id() {
        return id;
    }

    /**
     * Returns the priority.
     *
     * @return the priority, zero is the most urgent
     */
    int priority() {
        return priority;
    }

    /**
     * Returns the memory that the sequence needs.
     *
     * @return tokens of prompt and answer
     */
    long memoryTokens() {
        return promptTokens + outputTokens;
    }

    /**
     * Returns the prompt tokens that have not been processed.
     *
     * @return the number of tokens
     */
    long prefillLeft() {
        return prefillLeft;
    }

    /**
     * Processes prompt tokens.
     *
     * @param tokens the number of tokens
     */
    void prefill(long tokens) {
        prefillLeft -= tokens;
    }

    /**
     * Tells whether the sequence is over.
     *
     * @return whether the answer is complete or cancelled
     */
    boolean isOver() {
        return cancelled || emitted >= outputTokens;
    }

    /** Cancels the sequence. */
    void cancel() {
        cancelled = true;
    }

    /** Produces the next token. */
    void emit() {
        listener.onToken(token(answerSeed, emitted));
        emitted++;
    }

    /** Tells the listener how the sequence ended. */
    void end() {
        listener.onEnd(cancelled ? "cancelled" : "length");
    }
}
