package org.bamboohatch.routing;

/** Classes of prompts by length. Shorter prompts have a more urgent priority. */
public enum LengthClass {
    /** Up to 2,000 tokens. */
    UP_TO_2K(2_000, false),
    /** Up to 8,000 tokens. */
    UP_TO_8K(8_000, false),
    /** Up to 32,000 tokens. */
    UP_TO_32K(32_000, false),
    /** Up to 128,000 tokens. */
    UP_TO_128K(128_000, true),
    /** All longer prompts. */
    UP_TO_1M(Long.MAX_VALUE, true);

    private final long maximumTokens;

    private final boolean isLong;

    LengthClass(long maximumTokens, boolean isLong) {
        this.maximumTokens = maximumTokens;
        this.isLong = isLong;
    }

    /**
     * Returns the length class of a prompt.
     *
     * @param promptTokens length of the prompt, in tokens
     * @return the first class whose maximum is not exceeded
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
     * Indicates whether prompts of this class can delay shorter ones considerably, so that their share of an engine is
     * limited.
     *
     * @return {@code true} for prompts of more than 32,000 tokens
     */
    public boolean isLong() {
        return isLong;
    }

    /**
     * Returns the priority of this class at an engine.
     *
     * @return the priority; zero is the most urgent
     */
    public int priority() {
        return ordinal();
    }

    /**
     * Returns the name of this class in metrics and reports.
     *
     * @return the constant's name in lower case
     */
    public String label() {
        return name().toLowerCase(java.util.Locale.ROOT);
    }
}
