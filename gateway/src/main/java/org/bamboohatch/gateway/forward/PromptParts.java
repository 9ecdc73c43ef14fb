package org.bamboohatch.gateway.forward;

import java.util.Arrays;
import java.util.List;

import org.bamboohatch.kernel.id.RequestTrait;

/** Reads the header field in which a caller lists the parts of its prompt. */
final class PromptParts {

    /** Number of parts that are taken into account; limits the work that one request can cause. */
    static final int MAX_PARTS = 64;

    private PromptParts() {}

    /**
     * Returns the parts that other requests may have in common with this one. These are all parts but the last, which
     * belongs to the request or its session alone.
     *
     * @param value value of the header field, or null if the request has none
     * @return ids of the first {@value #MAX_PARTS} shared parts, in the order of the prompt
     */
    static List<RequestTrait> shared(String value) {
        if (value == null) {
            return List.of();
        }
        String[] parts = value.split(",");
        return Arrays.stream(parts, 0, Math.min(MAX_PARTS, parts.length - 1))
                .map(part -> part.contains(":") ? part.substring(0, part.indexOf(':')) : part)
                .map(id -> new RequestTrait(id.strip()))
                .distinct()
                .toList();
    }
}
