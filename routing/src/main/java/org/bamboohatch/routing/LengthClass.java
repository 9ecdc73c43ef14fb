package org.bamboohatch.routing;

/** Classes of prompts by length; shorter ones are served with a more urgent priority. */
public enum LengthClass {
    /** Up to 2,000 tokens. */
    UP_TO_2K(2_000, false),
    /** Up to 8,000 tokens. */
    UP_TO_8K(8_000, false),
    /** Up to 32,000 tokens. */
    UP_TO_32K(32_000, false),
    /** Up to 128,000 tokens. */
    UP_TO_128K(128_000, true),
    /** Longer prompts. */
    UP_TO_1M(Long.MAX_VALUE, true);

    /** The longest prompt, in tokens. */
    private final long maximumTokens;

    /** Whether prompts of the class can hold up shorter ones for long. */
    private final boolean isLong;

    /**
     * Creates a class.
     *
     * @param maximumTokens the longest prompt, in tokens
     * @param isLong whether prompts of the class can hold up shorter ones for long
     */
    LengthClass(long maximumTokens, boolean isLong) {
        this.maximumTokens = maximumTokens;
        this.isLong = isLong;
    }

    /**
     * Returns the class of a prompt.
     *
     * @param promptTokens length of the prompt, in tokens
     * @return the class
     */
    public static LengthClass of(long promptTokens) {
        for (LengthClass candidate : values()) {
            if (promptTokens <= candidate.maximumTokens) {
                return candidate;
            }
        }
        return UP_TO_1M;
    }

    /**
     * Tells whether prompts of the class can hold up shorter ones for long.
     *
     * @return whether the share of such prompts is capped
     */
    public boolean isLong() {
        return isLong;
    }

    /**
     * Returns the priority at an engine.
     *
     * @return the priority, zero is the most urgent
     */
    public int priority() {
        return ordinal();
    }

    /**
     * Returns the name in metrics and reports.
     *
     * @return a lower-case name
     */
    public String label() {
        return name().toLowerCase(java.util.Locale.ROOT);
    }
}
