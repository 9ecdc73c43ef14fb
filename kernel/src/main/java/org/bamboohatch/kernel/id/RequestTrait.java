package org.bamboohatch.kernel.id;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * What several requests may have in common: a part of their prompts, such as a document, or their entire content. Callers
 * choose the ids of prompt parts freely, so any text without a colon is accepted; traits that are alike in their first
 * {@value #MAX_LENGTH} characters are equal.
 *
 * @param value id of a prompt part, or a prefix and the id of a content; cut after {@value #MAX_LENGTH} characters
 */
public record RequestTrait(@JsonValue String value) {

    /** Number of characters that identify a trait; limits the memory that callers can occupy. */
    static final int MAX_LENGTH = 64;

    /** Tells contents from prompt parts, whose ids have no colon. */
    private static final String CONTENT_PREFIX = "content:";

    /** Cuts a value that is too long. */
    @JsonCreator(mode = JsonCreator.Mode.DELEGATING)
    public RequestTrait {
        value = value.length() <= MAX_LENGTH ? value : value.substring(0, MAX_LENGTH);
    }

    /**
     * Returns the trait of requests with the same content.
     *
     * @param fingerprint equal for equal contents, the distinctive part first
     * @return the trait
     */
    public static RequestTrait ofContent(String fingerprint) {
        return new RequestTrait(CONTENT_PREFIX + fingerprint);
    }

    /**
     * Indicates whether requests with this trait are the same in everything that a target sees of them.
     *
     * @return whether the trait is a content rather than a prompt part
     */
    public boolean isContent() {
        return value.startsWith(CONTENT_PREFIX);
    }

    /**
     * Returns the trait for logs.
     *
     * @return the id of the prompt part, or the fingerprint of the content
     */
    @Override
    public String toString() {
        return isContent() ? value.substring(CONTENT_PREFIX.length()) : value;
    }
}
